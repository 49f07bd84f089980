@0xc8be53a814f3dc1c;
# Settings and HTTP bodies of the stand-in for backend servers.

using Cxx = import "/capnp/c++.capnp";
using Store = import "store.capnp";
$Cxx.namespace("cicadadrum::schema");

# Settings of one process, which can stand in for several backend servers, for example all servers of a failure
# domain.
struct FakeBackendSettings {
  servers @0 :List(Store.Vm);
  readMicroseconds @1 :UInt32 = 10000;  # Time that a read occupies a slot.
  writeMicroseconds @2 :UInt32 = 20000;
  bulkMicroseconds @3 :UInt32 = 200000;
  coldRequests @4 :UInt32 = 0;  # Number of requests after the start that take coldFactor times as long.
  coldFactor @5 :UInt32 = 3;
  logLevel @6 :Text = "warning";
}

# Body of POST /control to one backend server.
struct BackendControl {
  slowFactor @0 :UInt32 = 1;
  crashMilliseconds @1 :UInt32 = 0;  # Closes all connections and refuses new connections for this time.
  reportLagMilliseconds @2 :UInt32 = 0;
}

# Number of executions of the request with this key.
struct Execution {
  key @0 :Text;
  count @1 :UInt32;
}

# Answer to GET /executions: the non-idempotent requests whose execution has begun.
struct Executions {
  executions @0 :List(Execution);
}

# Answer to GET /stats.
struct BackendStats {
  begun @0 :UInt64;  # Requests that got a slot.
  shed @1 :UInt64;
  cancelled @2 :UInt64;  # Requests whose connection was closed during the execution.
  inFlight @3 :UInt32;
  lastBegunMillisecondsAgo @4 :UInt64;
}

# Answer to a service request.
struct Echo {
  server @0 :Text;
  service @1 :Text;
  target @2 :Text;
  bodyBytes @3 :UInt64;
  bodyHash @4 :Text;  # 16 hexadecimal digits of XXH3.
  key @5 :Text;
}
