@0xd1f3a6b0c95e7742;
# Settings and control messages of the test doubles.

using Cxx = import "/capnp/c++.capnp";
using Store = import "store.capnp";
$Cxx.namespace("cicadadrum::schema");

struct PlatformSettings {
  listen @0 :Text = "127.0.0.1:0";  # IP:port; port 0 takes a free one.
  vmListLagMilliseconds @1 :UInt32 = 2000;  # A changed VM list is served after this time.
  vms @2 :List(Store.Vm);
  maxBodyBytes @3 :UInt32 = 16777216;
}

enum PlatformMode {
  up @0;
  slow @1;  # Answers after delayMilliseconds.
  down @2;  # Refuses with status 503, without effect.
  silent @3;  # Takes no effect and closes the connection without an answer.
  loseAnswers @4;  # Takes effect and closes the connection without an answer.
}

# Body of POST /control.
struct PlatformControl {
  mode @0 :PlatformMode;
  requests @1 :UInt32;  # Applies to this number of requests and then up again; 0 for no end.
  delayMilliseconds @2 :UInt32;
  setVms @3 :Bool;  # Replace the VM list by vms.
  vms @4 :List(Store.Vm);
}
