@0xd1f3a6b0c95e7742;
# Settings and control messages of the test doubles.

using Cxx = import "/capnp/c++.capnp";
using Store = import "store.capnp";
$Cxx.namespace("cicadadrum::schema");

struct PlatformSettings {
  listen @0 :Text = "127.0.0.1:0";  # IP:port; port 0 selects a free port.
  vmListLagMilliseconds @1 :UInt32 = 2000;  # Time until a changed VM list is served.
  vms @2 :List(Store.Vm);
  maxBodyBytes @3 :UInt32 = 16777216;
}

# How the platform stand-in handles requests.
enum PlatformMode {
  up @0;
  slow @1;  # Answers after delayMilliseconds.
  down @2;  # Refuses requests with status 503; they have no effect.
  silent @3;  # Closes the connection without an answer; the request has no effect.
  loseAnswers @4;  # Closes the connection without an answer after the request has taken effect.
}

# Body of POST /control.
struct PlatformControl {
  mode @0 :PlatformMode;
  requests @1 :UInt32;  # Number of requests in this mode, after which the mode is `up`; 0 for no limit.
  delayMilliseconds @2 :UInt32;
  setVms @3 :Bool;  # Replaces the VM list with `vms`.
  vms @4 :List(Store.Vm);
}
