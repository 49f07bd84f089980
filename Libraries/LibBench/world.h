// State of a simulation and the functions of its parts.

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

struct SimulatedEntry {
  EntryVm description;
  EntryState state;
  DirectChooser chooser;
  bool up = true;
  std::uint32_t generation = 0;  // Counts restarts; older messages are lost.
  TimePoint wake_at = kNever;
};

// What a caller wants, over all its attempts.
struct CallerRequest {
  std::size_t stream = 0;
  std::string customer;
  std::string service;
  std::string region;
  RequestClass request_class = RequestClass::kRoutine;
  Duration work{};
  std::string key;
  std::uint64_t fingerprint = 0;
  bool crashes_server = false;
  bool is_counted = false;
  TimePoint first_arrived_at;
  TimePoint deadline;
  std::uint32_t caller_attempts = 0;
  std::uint32_t response_count = 0;
};

// One try of a caller at an entry VM.
struct CallerAttempt {
  std::size_t caller = 0;  // Index in World::callers.
  std::size_t entry = 0;
};

// One attempt that an entry VM sent to a server.
struct SentAttempt {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  std::size_t entry = 0;
  std::uint32_t entry_generation = 0;
  std::size_t server = 0;
  double bulk_time_at_arrival = 0;  // Of the server, at the caller's arrival.
  Duration run_time{};
};

struct PendingSlotRequest {
  std::size_t owner = 0;
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
};

struct World {
  const Scenario* scenario = nullptr;
  const BenchDeployment* deployment = nullptr;
  SimulationOptions options;
  Random arrival_random;  // For arrivals; the same draws under every policy.
  Random direct_choice_random;  // For direct choices of servers.
  EventQueue queue;
  std::vector<SimulatedEntry> entries;
  std::vector<FakeServer> servers;
  std::unordered_map<std::string, std::size_t> server_index;
  std::unordered_map<std::string, std::size_t> entry_index;
  std::vector<CallerRequest> callers;
  // Open ones, by request id.
  std::unordered_map<std::uint64_t, CallerAttempt> caller_attempts;
  std::uint64_t next_request = 1;
  std::unordered_map<std::uint64_t, SentAttempt> attempts;  // By AttemptId.
  std::map<std::pair<std::size_t, std::uint64_t>, PendingSlotRequest>
      pending_slot_requests;  // By entry VM and id of the request.
  std::map<std::string, ClaimRow> table;
  std::unordered_map<std::string, std::uint32_t> executions_by_key;
  std::uint64_t next_direct_lease = 1;  // Of direct choices.
  std::vector<std::string> customers;
  std::map<std::string, std::vector<std::size_t>>
      ranked_entries;  // Entry VMs by "<region>/<customer>", best first.
  // Caller requests without an answer.
  std::uint64_t requests_without_response = 0;
  Duration report_delay = Milliseconds(200);
  bool reports_stopped = false;
  SimulationResult result;
};

// Identifies an attempt; request ids are unique in the simulation.
inline std::uint64_t AttemptId(std::uint64_t request, std::uint32_t attempt) {
  return (request << 8U) | attempt;
}

inline TimePoint Now(const World& world) {
  return world.queue.now;
}

// One-way delay between two places.
Duration DelayBetween(const World& world,
                      const std::string& region_a,
                      const std::string& domain_a,
                      const std::string& region_b,
                      const std::string& domain_b);

// --- Entry VMs (entry_driver.cc) ---

// Makes the entry VMs and gives them the configuration.
void StartEntries(World& world);
// Starts an entry VM with an empty state.
void StartEntry(World& world, std::size_t entry);
// Tells the live entry VMs which ones are live.
void AnnounceMembers(World& world);
// Gives the event to the entry VM unless it has ended.
void Deliver(World& world, std::size_t entry, const Event& event);
// Delivers after `delay`, unless the entry VM has ended in between.
void DeliverLater(World& world, std::size_t entry, Duration delay, Event event);
// Gives the server's load report to the entry VMs of its region.
void DeliverReport(World& world,
                   std::size_t server,
                   std::uint32_t in_progress,
                   TimePoint taken_at);
// Answers the slot requests of `entry` that its pool's lost owner holds.
void FailPendingSlotRequests(World& world, std::size_t lost_owner);

// --- Backend servers (backends.cc) ---

void SendAttempt(World& world, std::size_t entry, const SendToBackend& send);
void CancelAttempt(World& world, std::uint64_t attempt_id);
void CrashServer(World& world, std::size_t server);
void RestartServer(World& world, std::size_t server);
// Sends load reports every second until the end.
void StartReports(World& world);

// --- Callers (callers.cc) ---

void StartStreams(World& world);
// Sends the first or a repeated try of a caller's request to an entry VM.
void SendCallerAttempt(World& world, std::size_t caller);
// Creates a request of `stream` in `region` and sends it.
std::size_t CreateRequest(World& world,
                          const Stream& stream,
                          const std::string& region);
void ReceiveAnswer(World& world, const AnswerCaller& answer);
// The callers of an entry VM that has ended notice it and try another one.
void FailCallerAttemptsAt(World& world, std::size_t entry);

// --- Disturbances (disturbances.cc) ---

void StartDisturbances(World& world);

}  // namespace cicadadrum

#endif  // CICADADRUM_BENCH_WORLD_H_
