@0xc15023121e85e356;
# Scenarios of the benchmark, written in JSON with comments under Tests/Scenarios.

using Cxx = import "/capnp/c++.capnp";
using Configuration = import "configuration.capnp";
$Cxx.namespace("cicadadrum::schema");

# The three services of a deployment by their role.
enum ServiceRole {
  reads @0;
  writes @1;
  archive @2;
}

# Requests of one class with Poisson arrivals in every region.
struct Stream {
  service @0 :ServiceRole;
  requestClass @1 :Configuration.RequestClass;
  share @2 :Float64;  # Offered work as a share of the capacity of the service's pools.
  serviceMicroseconds @3 :UInt32;  # Mean time on a server that is not slowed.
  fromMilliseconds @4 :UInt32;
  toMilliseconds @5 :UInt32;  # 0: until the end.
}

enum DisturbanceKind {
  slow @0;  # Work takes `factor` times as long.
  shedding @1;  # Servers shed all requests beyond `factor` (0 to 1) of their slots.
  crash @2;  # Servers crash, and start cold at `toMilliseconds`.
  crashLoop @3;  # Servers crash every `periodMilliseconds` and start cold half a period later.
  poison @4;  # A caller sends a request that crashes its server, every `periodMilliseconds`.
  regionLost @5;  # Entry VMs and servers of `region` crash, and start again without state.
  reportsLate @6;  # Load reports arrive `periodMilliseconds` later.
  reportsStopped @7;
  reportsFalse @8;  # Load reports of the selected servers state that the servers are idle.
}

struct Disturbance {
  kind @0 :DisturbanceKind;
  service @1 :ServiceRole;
  fraction @2 :Float64;  # Share of the service's servers, selected evenly over the regions.
  region @3 :UInt32;  # Index of the region.
  factor @4 :Float64;
  fromMilliseconds @5 :UInt32;
  toMilliseconds @6 :UInt32;  # 0: until the end.
  periodMilliseconds @7 :UInt32;
}

struct Scenario {
  parts @0 :List(Text);  # Names of scenarios whose streams and disturbances are included.
  streams @1 :List(Stream);
  disturbances @2 :List(Disturbance);
  warmupMilliseconds @3 :UInt32 = 1000;  # Requests that arrive earlier are not counted.
  endMilliseconds @4 :UInt32 = 7000;  # No request arrives later.
}
