@0xd1b24b0ce1d8e3cd;
# Settings of the demonstration run: the mix of requests that the run sends.

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "configuration.capnp";
$Cxx.namespace("cicadadrum::schema");

# Requests of one class from one client account and region.
struct Stream {
  clientAccount @0 :Text;
  region @1 :Text;  # Region of the callers.
  service @2 :Text;
  requestClass @3 :Configuration.RequestClass;
  requestsPerSecond @4 :Float64;  # For uploads: uploads per second.
  bodyBytes @5 :UInt32;
  deadlineMilliseconds @6 :UInt32 = 5000;
}

struct Mix {
  deploymentFile @0 :Text;  # Relative to this file.
  platformFile @1 :Text;  # Relative to this file; lists the backend servers.
  leavingService @2 :Text;  # After a third of the run, the busiest server of this service is marked as leaving.
  streams @3 :List(Stream);
}
