@0xa6725eec34e48054;
# What operators edit: customers' plans, and what each plan may use.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cicadadrum::schema");

enum RequestClass {
  urgent @0;
  routine @1;
  write @2;
  bulk @3;
}

struct Customer {
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

# The body of one configuration version, kept in the object store by its hash.
struct Configuration {
  customers @0 :List(Customer);
  plans @1 :List(Plan);
}

# Value of the table row configuration/current.
struct ConfigurationPointer {
  version @0 :UInt64;
  bodyHash @1 :Text;
  author @2 :Text;
}

# Value of the table row leaving/<server>.
struct LeavingMark {
  server @0 :Text;
  sequence @1 :UInt64;  # Grows with each change of this server's mark.
  leaving @2 :Bool;
}
