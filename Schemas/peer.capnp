@0xfcb123c72a4470ab;
# Cap'n Proto RPC between entry VMs.

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "configuration.capnp";
$Cxx.namespace("cicadadrum::schema");

const protocolVersion :UInt32 = 1;

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

# First member of every call.
struct PeerHeader {
  protocolVersion @0 :UInt32;
  sender @1 :Text;
  incarnation @2 :UInt64;
  configurationVersion @3 :UInt64;
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

struct SlotReturn {
  lease @0 :UInt64;
  outcome @1 :AttemptOutcome;
  latencyMicroseconds @2 :Int64;
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
}

struct ForwardedAnswer {
  verdict @0 :Verdict;
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  reason @4 :RefusalReason;
}

struct MemberUpdate {
  name @0 :Text;
  region @1 :Text;
  failureDomain @2 :Text;
  callerAddress @3 :Text;
  peerAddress @4 :Text;
  incarnation @5 :UInt64;
  sequence @6 :UInt32;
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
}

interface EntryPeer {
  # Answered when a slot is granted or refused; dropping the call cancels the request.
  requestSlot @0 (header :PeerHeader, request :SlotRequest) -> (header :PeerHeader, answer :SlotAnswer);
  returnSlot @1 (header :PeerHeader, slotReturn :SlotReturn) -> (header :PeerHeader);
  execute @2 (header :PeerHeader, request :ForwardedRequest) -> (header :PeerHeader, answer :ForwardedAnswer);
  exchange @3 (header :PeerHeader, message :ExchangeMessage) -> (header :PeerHeader);
  fetchItem @4 (header :PeerHeader, key :Text, version :UInt64) -> (header :PeerHeader, found :Bool, item :ItemVersion);
}
