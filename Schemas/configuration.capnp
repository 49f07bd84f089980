@0xa6725eec34e48054;
# Configuration that operators edit: the plans of client accounts, and the limits of each plan.

using Cxx = import "/capnp/c++.capnp";
using Json = import "/capnp/compat/json.capnp";
$Cxx.namespace("cicadadrum::schema");

enum RequestClass {
  urgent @0;
  routine @1;
  write @2;
  bulk @3;
}

struct ClientAccount {
  name @0 :Text;
  plan @1 :Text;
}

struct Plan {
  name @0 :Text;
  services @1 :List(Text);
  classes @2 :List(RequestClass);
  regions @3 :List(Text);
  requestsPerSecond @4 :UInt32;
  concurrency @5 :UInt32;
  maxBodyBytes @6 :UInt64;
}

# Body of one configuration version. The object store has the body under its hash.
struct Configuration {
  clientAccounts @0 :List(ClientAccount) $Json.name("client_accounts");
  plans @1 :List(Plan);
}

# Value of the table row configuration/current.
struct ConfigurationPointer {
  version @0 :UInt64;
  bodyHash @1 :Text;
  author @2 :Text;
}

# Value of the table row leaving/<server>. Marks a server as leaving, or removes the mark.
struct LeavingMark {
  server @0 :Text;
  sequence @1 :UInt64;  # Grows with each change of this server's mark.
  leaving @2 :Bool;
}
