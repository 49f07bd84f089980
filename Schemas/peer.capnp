@0xfcb123c72a4470ab;
# Cap'n Proto RPC between entry VMs.

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "configuration.capnp";
$Cxx.namespace("cicadadrum::schema");

const protocolVersion :UInt32 = 2;

enum Verdict {
  ran @0;
  notRun @1;
  mayHaveRun @2;
}

enum RefusalReason {
  none @0;
  notReady @1;
  unknownCustomer @2;
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

enum MemberState {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

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

# One run of an entry VM's process: 128 random bits.
struct Incarnation {
  high @0 :UInt64;
  low @1 :UInt64;
}

# First member of every call and of every answer.
struct PeerHeader {
  protocolVersion @0 :UInt32;
  sender @1 :Text;
  incarnation @2 :Incarnation;
  configurationVersion @3 :UInt64;
  refusal @4 :CallRefusal;  # Set in answers only.
}

struct SlotRequest {
  id @0 :UInt64;
  region @1 :Text;
  service @2 :Text;
  customer @3 :Text;
  requestClass @4 :Configuration.RequestClass;
  remainingMicroseconds @5 :Int64;  # Until the deadline, as seen by the sender.
  avoid @6 :List(Text);  # Servers of earlier attempts.
  preferred @7 :Text;
  fingerprint @8 :UInt64;
  bodyBytes @9 :UInt64;
  onlyPreferred @10 :Bool;
  onlyIfFree @11 :Bool;
}

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

# Lease numbers are unique within a pool, so the pool is named too.
struct SlotReturn {
  region @0 :Text;
  service @1 :Text;
  lease @2 :UInt64;
  outcome @3 :AttemptOutcome;
  latencyMicroseconds @4 :Int64;
}

# Names a slot request of the sender.
struct SlotCancel {
  region @0 :Text;
  service @1 :Text;
  id @2 :UInt64;
}

# A request passed to the home of its key.
struct ForwardedRequest {
  customer @0 :Text;
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

struct ForwardedAnswer {
  verdict @0 :Verdict;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  truncated @4 :Bool;  # The response was too large to keep; the body is empty.
  reason @5 :RefusalReason;
}

struct MemberUpdate {
  name @0 :Text;
  region @1 :Text;
  failureDomain @2 :Text;
  callerAddress @3 :Text;
  peerAddress @4 :Text;
  incarnation @5 :Incarnation;
  sequence @6 :UInt32;  # Grows when the member contradicts a report about itself.
  state @7 :MemberState;
}

# One item of versioned state: a configuration version, a leaving mark or a blocked fingerprint.
struct ItemVersion {
  key @0 :Text;
  version @1 :UInt64;
  value @2 :Text;  # Empty if only the version is told; the body is fetched by key and version.
}

struct ExchangeMessage {
  kind @0 :ExchangeKind;
  sequence @1 :UInt64;
  target @2 :Text;  # Member that a pingRequest asks to probe.
  members @3 :List(MemberUpdate);
  items @4 :List(ItemVersion);
  digest @5 :UInt64;  # Of all item versions held.
  # Of the sender as membership knows it; it can be higher than the one in the header.
  senderIncarnation @6 :UInt64;
}

# What a response told the sender about a backend server.
struct ServerObservation {
  server @0 :UInt32;  # Tag of the server's id.
  object @1 :UInt32;  # Tag of the object that the server has just handled; 0 for none.
  ageMilliseconds @2 :UInt16;  # Since the response.
  hasReport @3 :Bool;  # The members below are set.
  running @4 :UInt16;
  waiting @5 :UInt16;
  slots @6 :UInt16;
  workPercent @7 :UInt16;  # Time that work takes on the server's VM; 100 is usual.
  unreachable @8 :Bool;  # No connection could be made to the server.
}

# Sent as one packed datagram, without an answer. It may be lost.
struct ObservationsDatagram {
  protocolVersion @0 :UInt32;
  observations @1 :List(ServerObservation);
}

enum TableFailure {
  historyLost @0;
  refused @1;
  noAnswer @2;
  behind @3;
}

# Asks for rows of a table of the store that the receiver reads.
struct RowsAsk {
  table @0 :Text;
  whole @1 :Bool;  # All rows, whatever was known before.
  after @2 :UInt64;  # Version up to which the sender knows the rows.
  sequence @3 :UInt64;  # Of the receiver's last answer; 0 for none.
  waitMicroseconds @4 :Int64;  # For an answer without rows.
}

struct StoreRow {
  key @0 :Text;
  value @1 :Data;
  version @2 :UInt64;
  removed @3 :Bool;
}

struct RowsAnswer {
  union {
    failure @0 :TableFailure;
    rows :group {
      changed @1 :List(StoreRow);
      version @2 :UInt64;  # The rows are complete up to it.
      sequence @3 :UInt64;
      ageMicroseconds @4 :Int64;  # Since it was known that the rows are complete.
    }
  }
}

# A lease that an entry VM holds from an earlier owner of the pool.
struct HeldLease {
  lease @0 :UInt64;
  server @1 :Text;
  customer @2 :Text;
  requestClass @3 :Configuration.RequestClass;
  fingerprint @4 :UInt64;
  ageMicroseconds @5 :Int64;  # Since it was granted.
  remainingMicroseconds @6 :Int64;  # Until the deadline of its request.
}

struct PoolName {
  region @0 :Text;
  service @1 :Text;
}

struct LeasesReport {
  pool @0 :PoolName;
  leases @1 :List(HeldLease);
}

# An answer whose header carries a refusal has no other member set.
interface EntryPeer {
  # Answered when a slot is granted or refused. The request ends at the owner when the connection is lost or
  # the call is dropped.
  requestSlot @0 (header :PeerHeader, request :SlotRequest) -> (header :PeerHeader, answer :SlotAnswer);
  returnSlot @1 (header :PeerHeader, slotReturn :SlotReturn) -> (header :PeerHeader);
  execute @2 (header :PeerHeader, request :ForwardedRequest) -> (header :PeerHeader, answer :ForwardedAnswer);
  exchange @3 (header :PeerHeader, message :ExchangeMessage) -> (header :PeerHeader);
  fetchItem @4 (header :PeerHeader, key :Text, version :UInt64) -> (header :PeerHeader, found :Bool, item :ItemVersion);
  # Ends a slot request. The requestSlot call is then answered: refused, or granted if the grant was sent
  # first. The sender waits for that answer and returns the granted slot, so that no grant is lost.
  cancelSlot @5 (header :PeerHeader, cancel :SlotCancel) -> (header :PeerHeader);
  # The sender is the new owner of the pool; the receiver answers with reportLeases.
  askLeases @6 (header :PeerHeader, pool :PoolName) -> (header :PeerHeader);
  reportLeases @7 (header :PeerHeader, report :LeasesReport) -> (header :PeerHeader);
  # Answered when there are rows, or after the wait.
  followRows @8 (header :PeerHeader, ask :RowsAsk) -> (header :PeerHeader, answer :RowsAnswer);
}
