@0xfcb123c72a4470ab;
# Messages and methods of the Cap'n Proto RPC between entry VMs.

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "configuration.capnp";
$Cxx.namespace("cicadadrum::schema");

const protocolVersion :UInt32 = 2;

# Whether a request ran on a backend server.
enum Verdict {
  ran @0;
  notRun @1;
  mayHaveRun @2;
}

# Why an entry VM refused a request.
enum RefusalReason {
  none @0;
  notReady @1;
  unknownClientAccount @2;
  notInPlan @3;
  rateLimit @4;
  concurrencyLimit @5;
  bodyTooLarge @6;
  queueFull @7;
  deadline @8;
  noServer @9;
  keyMissing @10;
  keyInUse @11;
  storeDown @12;
  blocked @13;
  peerUnreachable @14;
  stopping @15;
  callerGone @16;
  noBudget @17;
}

# How an attempt to send a request to a backend server ended.
enum AttemptOutcome {
  answered @0;
  serverError @1;
  shed @2;
  connectionRefused @3;
  connectionLost @4;
  timedOut @5;
  cancelled @6;
  notSent @7;
}

# State of a member in the sender's membership.
enum MemberState {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

# Kind of a membership message.
enum ExchangeKind {
  ping @0;
  ack @1;
  pingRequest @2;
  push @3;
  pull @4;
}

# Why a peer did not handle a call. The call had no effect unless the value is `none`.
enum CallRefusal {
  none @0;
  otherProtocolVersion @1;
  stopping @2;
}

# Identity of one run of an entry VM's process, 128 bits. `high` grows with each start, and `low` is random.
struct Incarnation {
  high @0 :UInt64;
  low @1 :UInt64;
}

# First member of the parameters of every call and of every answer.
struct PeerHeader {
  protocolVersion @0 :UInt32;
  sender @1 :Text;
  incarnation @2 :Incarnation;
  configurationVersion @3 :UInt64;
  refusal @4 :CallRefusal;  # Set only in answers.
  readsCompressed @5 :Bool;  # The sender can read compressed values. Earlier versions of the program can't.
}

# Request for a slot on a backend server of the pool, sent to the pool owner.
struct SlotRequest {
  id @0 :UInt64;
  region @1 :Text;
  service @2 :Text;
  clientAccount @3 :Text;
  requestClass @4 :Configuration.RequestClass;
  remainingMicroseconds @5 :Int64;  # Time until the deadline by the sender's clock.
  avoid @6 :List(Text);  # Backend servers of earlier attempts.
  preferred @7 :Text;
  fingerprint @8 :UInt64;
  bodyBytes @9 :UInt64;
  onlyPreferred @10 :Bool;
  onlyIfFree @11 :Bool;
}

# Answer of the pool owner to a slot request.
struct SlotAnswer {
  union {
    granted :group {
      lease @0 :UInt64;
      server @1 :Text;
      address @2 :Text;
    }
    refused :group {
      reason @3 :RefusalReason;
      retryAfterMicroseconds @4 :Int64;
    }
  }
}

# Returns a slot to the pool owner. Lease numbers are unique only within a pool, so the message also names the pool.
struct SlotReturn {
  region @0 :Text;
  service @1 :Text;
  lease @2 :UInt64;
  outcome @3 :AttemptOutcome;
  latencyMicroseconds @4 :Int64;
}

# Identifies a slot request of the sender that the pool owner should cancel.
struct SlotCancel {
  region @0 :Text;
  service @1 :Text;
  id @2 :UInt64;
}

# A request that an entry VM forwards to the home of its request key.
struct ForwardedRequest {
  clientAccount @0 :Text;
  service @1 :Text;
  requestClass @2 :Configuration.RequestClass;
  key @3 :Text;
  method @4 :Text;
  path @5 :Text;
  body @6 :Data;
  remainingMicroseconds @7 :Int64;
  traceparent @8 :Text;
  originRequest @9 :UInt64;  # Number of the request at the sender.
  originAttempt @10 :UInt32;
}

# Outcome of a forwarded request.
struct ForwardedAnswer {
  verdict @0 :Verdict;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  truncated @4 :Bool;  # The body of the response was too large, and `body` is empty.
  reason @5 :RefusalReason;
}

# The sender's last known state of one member.
struct MemberUpdate {
  name @0 :Text;
  region @1 :Text;
  failureDomain @2 :Text;
  callerAddress @3 :Text;
  peerAddress @4 :Text;
  incarnation @5 :Incarnation;
  sequence @6 :UInt32;  # Grows when the member contradicts a report about itself.
  state @7 :MemberState;
  linkMegabitsPerSecond @8 :Float64;  # 0 if unknown.
  processorShare @9 :Float64;  # In cores; 0 if unknown.
}

# One item of versioned state: a configuration version, a leaving mark, a blocked fingerprint or a suspect.
struct ItemVersion {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Text;  # Empty if the sender announces only the version; the receiver fetches the value by key and version.
  compressedValue @3 :Data;  # Takes the place of `value` if `plainBytes` is not 0.
  plainBytes @4 :UInt32;  # Size of the value before its compression with zlib.
}

# Value of an item with the evidence that requests crash servers, as JSON.
struct SuspectItem {
  fingerprint @0 :UInt64;
  losses @1 :UInt32;  # Servers that were lost one after the other; 0 if the fingerprint is cleared.
  servers @2 :List(UInt64);  # Tags of the lost incarnations of servers.
}

# A membership message with the state of members and the versions of items.
struct ExchangeMessage {
  kind @0 :ExchangeKind;
  sequence @1 :UInt64;
  target @2 :Text;  # Member that the receiver of a pingRequest probes.
  members @3 :List(MemberUpdate);
  items @4 :List(ItemVersion);
  digest @5 :UInt64;  # Digest of all item versions that the sender stores.
  # Incarnation of the sender in its membership; this value can be higher than the incarnation in the header.
  senderIncarnation @6 :UInt64;
}

# State of a backend server that the sender learned from a response.
struct ServerObservation {
  server @0 :UInt32;  # Tag of the server's id.
  object @1 :UInt32;  # Tag of the object that the server handled last; 0 for no object.
  ageMilliseconds @2 :UInt16;  # Time since the response.
  hasReport @3 :Bool;  # The members below are set.
  running @4 :UInt16;
  waiting @5 :UInt16;
  slots @6 :UInt16;
  workPercent @7 :UInt16;  # Time that work takes on the server's VM, in percent; 100 is the usual time.
  unreachable @8 :Bool;  # No connection to the server could be opened.
  leaving @9 :Bool;  # The server announced that it is leaving.
  incarnation @10 :UInt32;  # Tag of the server's start; 0 if the sender does not name it.
  hasLimit @11 :Bool;  # The member below is set.
  # Requests per second that the server takes from all entry VMs together; infinity if it has ceased to state a limit.
  limitPerSecond @12 :Float32;
}

# What a part of a message about the quotas of client accounts says.
enum QuotaItemKind {
  request @0;  # Requests tokens.
  grant @1;  # Answers a request.
  claim @2;  # The sender is the first of the cell's order and requests the bucket.
  release @3;  # Answers a claim: the sender has ceased to grant tokens, or nobody did.
  vacant @4;  # Answers a claim: the sender grants no tokens, but started too recently to know whether another does.
}

# How the receiver of a request for tokens answers.
enum QuotaAnswer {
  granted @0;  # Possibly fewer tokens than requested, because the quota allows no more.
  notOwner @1;
}

# A part of a message about one cell of a client account's quota.
struct QuotaItem {
  cell @0 :UInt32;  # Tag of the cell's name.
  sequence @1 :UInt16;  # Of the request; repeated in its answer.
  kind @2 :QuotaItemKind;
  # Request: tokens that requests wait for. Grant: tokens granted. Release: hundredths of tokens in the bucket.
  tokens @3 :UInt16;
  ahead @4 :UInt16;  # Request: further tokens, in advance.
  answer @5 :QuotaAnswer;
  retryAfterMilliseconds @6 :UInt16;  # Grant: time until a token is available.
}

# Observations of backend servers, or messages about quotas, sent as one packed datagram. The datagram may be lost.
struct ObservationsDatagram {
  protocolVersion @0 :UInt32;
  observations @1 :List(ServerObservation);
  sender @2 :UInt32;  # Tag of the sender's name; set with `quota`.
  quota @3 :List(QuotaItem);
  # Number of entry VMs that the sender knows, live or lost in the last 10 minutes; set with `quota`.
  fleetSize @4 :UInt16;
}

# Why an entry VM returns no rows of a table.
enum TableFailure {
  historyLost @0;
  refused @1;
  noAnswer @2;
  behind @3;
}

# Requests rows of a table of the store that the receiver reads.
struct RowsAsk {
  table @0 :Text;
  whole @1 :Bool;  # Requests all rows, regardless of `after`.
  after @2 :UInt64;  # Version up to which the sender has the rows.
  sequence @3 :UInt64;  # Sequence of the receiver's last answer; 0 if there was no answer.
  waitMicroseconds @4 :Int64;  # Time until the receiver sends an answer without rows.
  era @5 :UInt64;  # Era of `after`; 0 if unknown.
}

struct StoreRow {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  removed @3 :Bool;
  era @4 :UInt64;  # Era of `version`; 0 if unknown.
  # Size of the value before its compression with zlib; 0 if `value` is not compressed.
  plainBytes @5 :UInt32;
}

# Rows that have changed, or the reason why there are no rows.
struct RowsAnswer {
  era @5 :UInt64;  # Era of the sender's rows; 0 if unknown.
  union {
    failure @0 :TableFailure;
    rows :group {
      changed @1 :List(StoreRow);
      version @2 :UInt64;  # The rows are complete up to this version.
      sequence @3 :UInt64;
      ageMicroseconds @4 :Int64;  # Time since the rows were last known to be complete.
      queryAgeMicroseconds @6 :Int64 = -1;  # Time since the oldest query behind the rows was sent; -1 if unknown.
      # The sender does not know which rows were removed and written again before this version.
      historyBegin @7 :UInt64;
      historyBeginEra @8 :UInt64;  # Era of `historyBegin`; 0 if unknown.
    }
  }
}

# A lease that an earlier owner of the pool granted to an entry VM.
struct HeldLease {
  lease @0 :UInt64;
  server @1 :Text;
  clientAccount @2 :Text;
  requestClass @3 :Configuration.RequestClass;
  fingerprint @4 :UInt64;
  ageMicroseconds @5 :Int64;  # Time since the grant.
  remainingMicroseconds @6 :Int64;  # Time until the deadline of the lease's request.
}

# Identifies a pool.
struct PoolName {
  region @0 :Text;
  service @1 :Text;
}

# Leases of the sender in a pool, sent to the new owner of the pool.
struct LeasesReport {
  pool @0 :PoolName;
  leases @1 :List(HeldLease);
}

# Calls between entry VMs. In an answer whose header contains a refusal, no other member is set.
interface EntryPeer {
  # The pool owner answers when it grants or refuses a slot. The request ends at the owner when the connection is lost
  # or the caller drops the call.
  requestSlot @0 (header :PeerHeader, request :SlotRequest) -> (header :PeerHeader, answer :SlotAnswer);
  returnSlot @1 (header :PeerHeader, slotReturn :SlotReturn) -> (header :PeerHeader);
  execute @2 (header :PeerHeader, request :ForwardedRequest) -> (header :PeerHeader, answer :ForwardedAnswer);
  exchange @3 (header :PeerHeader, message :ExchangeMessage) -> (header :PeerHeader);
  fetchItem @4 (header :PeerHeader, key :Text, version :UInt64) -> (header :PeerHeader, found :Bool, item :ItemVersion);
  # Ends a slot request. The pool owner then answers the requestSlot call with a refusal, or has already answered with
  # a grant. The sender waits for that answer and returns a granted slot, so that no grant is lost.
  cancelSlot @5 (header :PeerHeader, cancel :SlotCancel) -> (header :PeerHeader);
  # Requests the receiver's leases in a pool of which the sender is the new owner. The receiver calls reportLeases.
  askLeases @6 (header :PeerHeader, pool :PoolName) -> (header :PeerHeader);
  reportLeases @7 (header :PeerHeader, report :LeasesReport) -> (header :PeerHeader);
  # The receiver answers when rows have changed or after the requested wait.
  followRows @8 (header :PeerHeader, ask :RowsAsk) -> (header :PeerHeader, answer :RowsAnswer);
}
