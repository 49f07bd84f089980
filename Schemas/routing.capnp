@0xb1f0d65c3a2e4d91;
# Documents in the platform's store, and the settings of cicadadrum-platform. The documents use the names of this
# product; deploy/wire.toml maps the platform's names to them. A field that a document omits has a default that no valid
# value equals.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cicadadrum::schema");

struct WeightedService {
  service @0 :Text;
  weight @1 :Float64 = -1;
}

struct RouteRule {
  name @0 :Text;
  host @1 :Text;
  prefix @2 :Text;
  kind @3 :Text;  # safe, unsafe, upload or download
  timeoutMilliseconds @4 :Float64 = -1;
  latencyObjectiveMilliseconds @5 :Float64 = -1;
  priority @6 :UInt32 = 1000;
  service @7 :Text;  # Empty if `split` is given.
  split @8 :List(WeightedService);
  attempts @9 :UInt32 = 1;
  sticky @10 :Bool;
  homeRegions @11 :List(Text);
  isPublic @12 :Bool;  # Requests need no key.
}

# Element of the list `clientAccounts` of a configuration.
struct ClientAccountRule {
  name @0 :Text;
  keys @1 :List(Text);
  priority @2 :Float64 = -1;  # -1 for that of the route.
  requestsPerSecond @3 :Float64;  # 0 for no limit.
  burst @4 :Float64;
  homeRegions @5 :List(Text);
}

struct ServiceRule {
  name @0 :Text;
  healthPath @1 :Text;
  maxConnections @2 :UInt32;
  coldStartSeconds @3 :Float64;
  coldRequestsPerSecond @4 :Float64;
}

struct CallerLimits {
  headerBytes @0 :UInt64 = 16384;
  bodyBytes @1 :UInt64 = 67108864;
  headerTimeoutMilliseconds @2 :Float64 = 3000;
  idleTimeoutMilliseconds @3 :Float64 = 15000;
}

# Part of a configuration. Its lists `routes` (of RouteRule), `services` (of ServiceRule) and `clientAccounts` (of
# ClientAccountRule), and `limits` (CallerLimits), are decoded one by one.
struct ConfigurationHead {
  version @0 :UInt64;
}

# State of a backend server, which the server itself writes.
struct ServerDocument {
  service @0 :Text;
  address @1 :Text;
  failureDomain @2 :Text;
  slots @3 :UInt32;
  state @4 :Text;  # ready or draining
  coldLeftMilliseconds @5 :Float64 = -1;
  sequence @6 :Int64 = -1;
  born @7 :Int64;  # Unix time of the server's start in ms.
}

struct TableRowDocument {
  table @0 :Text;
  part @1 :Text;
  key @2 :Text;
  value @3 :Text;  # Base64.
  rowVersion @4 :UInt64;
  removed @5 :Bool;
}

struct TableAnswer {
  rows @0 :List(TableRowDocument);
  hasMore @1 :Bool;
  rowVersion @2 :UInt64;
}

struct EntryAddresses {
  addresses @0 :List(Text);
  lifetimeSeconds @1 :Float64;
}

struct DomainRegion {
  failureDomain @0 :Text;
  region @1 :Text;
}

struct FleetBoundsSettings {
  retryBudgetRatio @0 :Float64 = 0.2;
  retryBudgetExtra @1 :Float64 = 0;
  retryWindowSeconds @2 :Float64 = 10;
  coldLoadFactor @3 :Float64 = 1;
  coldExtraRequests @4 :Float64 = 0;
  drainMilliseconds @5 :Float64 = 2000;
  configurationMilliseconds @6 :Float64 = 2000;
  maxShift @7 :Float64 = 0.15;
  stopSeconds @8 :Float64 = 6;  # Between SIGTERM and SIGKILL.
  lookupLifetimeSeconds @9 :Float64 = 5;  # Longest time that callers use the result of a lookup.
  revokeEverywhere @10 :Bool;  # No entry VM serves a key that was revoked longer than `revokeMilliseconds` ago.
  revokeMilliseconds @11 :Float64;
  quotaWindowSeconds @12 :Float64 = 5;
  quotaExcess @13 :Float64 = 0.1;  # Part of a quota that may be sent beyond it.
  quotaSlack @14 :Float64 = 20;  # Requests in a window that may be sent beyond it.
}

# Settings of cicadadrum-platform.
struct PlatformSettings {
  name @0 :Text;
  region @1 :Text;
  failureDomain @2 :Text;
  callerAddress @3 :Text;  # IP:port
  readinessAddress @4 :Text;
  lookupAddress @5 :Text;
  peerAddress @6 :Text;
  metricsAddress @7 :Text;
  storeAddress @8 :Text;
  seeds @9 :List(Text);  # Addresses of other entry VMs; their ports are not used.
  failureDomains @10 :List(DomainRegion);
  bounds @11 :FleetBoundsSettings;
  logLevel @12 :Text = "info";
  logLinesPerSecond @13 :UInt32 = 100;
  linkMegabitsPerSecond @14 :Float64;  # Speed of this VM's link; 0 if unknown.
  processorShare @15 :Float64;  # Part of a core that this VM has; 0 if unknown.
  processorSpeed @16 :Float64 = 1;  # Of this VM's core, relative to the usual speed.
  memoryMegabytes @17 :Float64;  # That this process may use; 0 if unknown.
}
