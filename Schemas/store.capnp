@0x8f66375290822d4e;
# Bodies of the platform's HTTP interfaces: table service and VM list.

using Cxx = import "/capnp/c++.capnp";
using Json = import "/capnp/compat/json.capnp";
$Cxx.namespace("cicadadrum::schema");

struct Row {
  key @0 :Text;
  value @1 :Text;
  version @2 :UInt64;  # Grows by one with each write of the row; 0 means that the row is absent.
}

struct RowCheck {
  key @0 :Text;
  version @1 :UInt64;  # The version that the row must have; 0 means that the row must be absent.
}

struct RowWrite {
  key @0 :Text;
  value @1 :Text;
  check @2 :Bool;  # Write this row only if its version is checkVersion; other rows are not affected.
  checkVersion @3 :UInt64;
}

# The writes take effect only if all checks succeed. A repeated transaction with the same token has no further effect
# and gets the answer of the first attempt.
struct Transaction {
  token @0 :Text;
  checks @1 :List(RowCheck);
  writes @2 :List(RowWrite);
}

struct TransactionAnswer {
  committed @0 :Bool;
  rows @1 :List(Row);  # The written rows after a commit; otherwise the rows whose checks failed.
  failed @2 :List(Row);  # The present rows of those writes whose check of `checkVersion` failed.
}

# Value of a row claims/<key>.
struct ClaimRow {
  holder @0 :Text;  # Entry VM
  incarnation @1 :Text;  # 32 hexadecimal digits
  claim @2 :UInt64;  # Number of the claim within the incarnation.
  finished @3 :Bool;
  status @4 :UInt16;  # This field and the fields below are set if `finished` is true.
  contentType @5 :Text;
  body @6 :Data $Json.base64;
  truncated @7 :Bool;  # The body was too large to be stored.
}

struct RowList {
  rows @0 :List(Row);
}

enum VmState {
  live @0;
  leaving @1;
}

struct Vm {
  name @0 :Text;
  service @1 :Text;
  region @2 :Text;
  failureDomain @3 :Text;
  address @4 :Text;  # IP:port
  slots @5 :UInt32;
  connections @6 :UInt32;
  state @7 :VmState;
}

struct VmList {
  vms @0 :List(Vm);
}
