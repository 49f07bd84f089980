@0xc711ee303b8a374e;
# Settings of the processes, written in JSON with comments.

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "configuration.capnp";
$Cxx.namespace("cicadadrum::schema");

struct Region {
  name @0 :Text;
  failureDomains @1 :List(Text);
}

struct Service {
  name @0 :Text;
  classes @1 :List(Configuration.RequestClass);
}

# Settings that all entry VMs of one deployment share.
struct Deployment {
  name @0 :Text;
  regions @1 :List(Region);
  services @2 :List(Service);
  linkMegabitsPerSecond @3 :UInt32;  # Each way, between each pair of regions.
  regionDelayMicroseconds @4 :UInt32;  # One way, between regions.
  domainDelayMicroseconds @5 :UInt32;  # One way, between failure domains of a region.
  shiftCapPercent @6 :UInt32;
  shiftWindowSeconds @7 :UInt32;
  entries @8 :List(Entry);
  platformAddress @9 :Text;  # IP:port
}

# One entry VM of the deployment.
struct Entry {
  name @0 :Text;
  region @1 :Text;
  failureDomain @2 :Text;
  callerAddress @3 :Text;  # IP:port for callers and operators
  peerAddress @4 :Text;  # IP:port for other entry VMs
}

# Settings of one entry VM.
struct EntrySettings {
  entry @0 :Text;  # Name of this entry VM in the deployment.
  deploymentFile @1 :Text;  # Relative to this file.
  logLevel @2 :Text = "info";
  traceFile @3 :Text;  # Spans are written to this file as JSON lines; no spans are written if empty.
  maxConnections @4 :UInt32 = 512;
  maxBodyBytes @5 :UInt32 = 262144;
  maxBufferedBytes @6 :UInt64 = 134217728;
  maxConnectionsPerServer @7 :UInt32 = 64;
}
