@0x87e38e3f6c40d598;
# JSON bodies of the entry VM's HTTP interface and of the backend servers' load endpoint.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cicadadrum::schema");

struct EntryAddress {
  name @0 :Text;
  region @1 :Text;
  address @2 :Text;  # IP:port
}

# Answer to a lookup: the entry VMs that a client should use.
struct LookupAnswer {
  region @0 :Text;  # The region that serves this client.
  entries @1 :List(EntryAddress);  # Best first.
  lifetimeSeconds @2 :UInt32;
  configurationVersion @3 :UInt64;
  requestKeys @4 :List(Text);
}

# Body of every response that the entry VM generates without a backend server.
struct Refusal {
  reason @0 :Text;
  detail @1 :Text;
}

# Load that a backend server reports.
struct LoadReport {
  slots @0 :UInt32;
  inFlight @1 :UInt32;
  queued @2 :UInt32;
  ageMilliseconds @3 :UInt32;
}

# Answer of a backend server to a part of an upload, or to a request for the offset.
struct UploadOffset {
  received @0 :UInt64;
}

# Request to mark a backend server as leaving, or to remove the mark.
struct MarkLeaving {
  server @0 :Text;
  leaving @1 :Bool;
}

# Answer to MarkLeaving.
struct MarkAnswer {
  sequence @0 :UInt64;
  recordedInTable @1 :Bool;
}

struct ServerStatus {
  name @0 :Text;
  service @1 :Text;
  region @2 :Text;
  state @3 :Text;
  slots @4 :UInt32;
  inFlight @5 :UInt32;
}

struct EntryStatus {
  name @0 :Text;
  region @1 :Text;
  version @2 :Text;
  ready @3 :Bool;
  configurationVersion @4 :UInt64;
  members @5 :List(Text);
  pools @6 :List(ServerStatus);  # Servers of the pools that this entry VM owns.
  requestsInProgress @7 :UInt32;
}
