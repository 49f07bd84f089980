// State of one simulation, and the functions that simulate entry VMs, backend
// servers, callers and disturbances on it.

#ifndef CICADADRUM_BENCH_WORLD_H_
#define CICADADRUM_BENCH_WORLD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/bench/simulation.h"
#include "cicadadrum/steering/entry_state.h"
#include "direct_choice.h"
#include "event_queue.h"
#include "fake_server.h"

namespace cicadadrum {

// An entry VM: the request core that it runs and whether it is up.
struct SimulatedEntry {
  EntryVm description;
  EntryState state;
  DirectChooser chooser;
  bool up = true;
  // Increases with each stop and start. Messages that were sent to an earlier
  // generation are dropped.
  std::uint32_t generation = 0;
  TimePoint wake_at = kNever;  // Time of the next scheduled timer event.
};

// A caller's request with the state that is common to all its attempts.
struct CallerRequest {
  std::size_t stream = 0;
  std::string client_account;
  std::string service;
  std::string region;
  RequestClass request_class = RequestClass::kRoutine;
  Duration work{};  // Service time on a server that is warm and not slowed.
  std::string key;  // Request key of a write; empty for other requests.
  std::uint64_t fingerprint = 0;
  bool crashes_server = false;
  bool is_counted = false;  // Arrived after the warm-up.
  TimePoint first_arrived_at;
  TimePoint deadline;
  std::uint32_t caller_attempts = 0;  // Attempts sent to entry VMs.
  std::uint32_t response_count = 0;   // Must be 1 at the end.
};

// One attempt of a caller: its request, sent to one entry VM.
struct CallerAttempt {
  std::size_t caller = 0;  // Index in World::callers.
  std::size_t entry = 0;   // Index in World::entries.
};

// One attempt of an entry VM to have a request executed by a server.
struct SentAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::size_t entry = 0;
  std::uint32_t entry_generation = 0;
  std::size_t server = 0;
  // Estimate of the server's FakeServer::bulk_time_integral, in microseconds,
  // when the caller's request arrived at its first entry VM.
  double bulk_time_at_arrival = 0;
  Duration run_time{};  // Time that the server spent on the attempt.
};

// A slot request that was sent to a pool owner and has no response yet.
struct PendingSlotRequest {
  std::size_t owner = 0;  // Index of the pool owner in World::entries.
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

struct World {
  const Scenario* scenario = nullptr;
  const BenchDeployment* deployment = nullptr;
  SimulationOptions options;
  // Source of the arrivals. Direct choices of servers draw from a second
  // source, so that the arrivals are the same under every policy.
  Random arrival_random;
  Random direct_choice_random;
  EventQueue queue;
  std::vector<SimulatedEntry> entries;
  std::vector<FakeServer> servers;
  std::unordered_map<std::string, std::size_t> server_index;
  std::unordered_map<std::string, std::size_t> entry_index;
  std::vector<CallerRequest> callers;
  // Attempts without a response, by request id.
  std::unordered_map<std::uint64_t, CallerAttempt> caller_attempts;
  std::uint64_t next_request = 1;
  std::unordered_map<std::uint64_t, SentAttempt> attempts;  // By AttemptId.
  // By the index of the requesting entry VM and the id of the slot request.
  std::map<std::pair<std::size_t, std::uint64_t>, PendingSlotRequest>
      pending_slot_requests;
  std::map<std::string, ClaimRow> table;  // Claim rows by request key.
  std::unordered_map<std::string, std::uint32_t> executions_by_key;
  // Number of the next lease that a policy without a pool owner grants.
  std::uint64_t next_direct_lease = 1;
  std::vector<std::string> client_accounts;
  // Entry VMs by "<region>/<client account>", in the callers' order of
  // preference.
  std::map<std::string, std::vector<std::size_t>> ranked_entries;
  // Number of caller requests without a response.
  std::uint64_t requests_without_response = 0;
  Duration report_delay = Milliseconds(200);  // Of load reports.
  bool reports_stopped = false;
  SimulationResult result;
};

// Returns an id that is unique in the simulation, as request ids are. `attempt`
// must be below 256.
inline std::uint64_t AttemptId(std::uint64_t request, std::uint32_t attempt) {
  return (request << 8U) | attempt;
}

inline TimePoint Now(const World& world) {
  return world.queue.now;
}

// Returns the one-way network delay between two failure domains. `domain_a` is
// in `region_a`, `domain_b` in `region_b`.
Duration DelayBetween(const World& world,
                      const std::string& region_a,
                      const std::string& domain_a,
                      const std::string& region_b,
                      const std::string& domain_b);

// --- Entry VMs (entry_driver.cc) ---

// Creates and starts all entry VMs and announces the members.
void StartEntries(World& world);
// Starts an entry VM with an empty state; it receives the configuration and the
// list of servers, but not the members.
void StartEntry(World& world, std::size_t entry);
// Sends each entry VM that is up the list of the live members.
void AnnounceMembers(World& world);
// Passes the event to the request core of the entry VM and performs the
// resulting actions. Does nothing if the entry VM is down.
void Deliver(World& world, std::size_t entry, const Event& event);
// Calls Deliver after `delay`, unless the entry VM stops or restarts before.
void DeliverLater(World& world, std::size_t entry, Duration delay, Event event);
// Delivers a load report, sampled at `taken_at`, to the entry VMs of the
// server's region.
void DeliverReport(World& world,
                   std::size_t server,
                   std::uint32_t in_progress,
                   TimePoint taken_at);
// Refuses all slot requests that wait for the pool owner `lost_owner`, because
// an entry VM that was lost sends no response.
void FailPendingSlotRequests(World& world, std::size_t lost_owner);

// --- Backend servers (backends.cc) ---

// Sends a request to its server; the outcome returns to the entry VM as an
// event.
void SendAttempt(World& world, std::size_t entry, const SendToBackend& send);
// Cancels an attempt, queued or running, once the message reaches the server.
void CancelAttempt(World& world, std::uint64_t attempt_id);
// Stops a server; the entry VMs see its attempts fail with a lost connection.
// Does nothing if the server is down.
void CrashServer(World& world, std::size_t server);
// Starts a server with a cold cache. Does nothing if the server is up.
void RestartServer(World& world, std::size_t server);
// Sends the load reports of all servers every second until the scenario ends.
void StartReports(World& world);

// --- Callers (callers.cc) ---

// Schedules the arrivals of all streams in all regions.
void StartStreams(World& world);
// Sends the first or a repeated attempt of a caller's request to the best
// ranked entry VM that is up. The request counts as refused if none is up.
void SendCallerAttempt(World& world, std::size_t caller);
// Creates a request of `stream` in `region`, without sending it. Returns its
// index in World::callers.
std::size_t CreateRequest(World& world,
                          const Stream& stream,
                          const std::string& region);
// Records the response of an entry VM to a caller's attempt.
void ReceiveAnswer(World& world, const AnswerCaller& answer);
// Fails the open attempts at an entry VM that was lost. After a delay for the
// detection, their callers send the requests to another entry VM.
void FailCallerAttemptsAt(World& world, std::size_t entry);

// --- Disturbances (disturbances.cc) ---

// Schedules the start and the end of every disturbance of the scenario.
void StartDisturbances(World& world);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_WORLD_H_
