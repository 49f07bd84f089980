// Callers: Poisson arrivals, the choice of an entry VM, and repeated attempts
// after an entry VM was lost.

#include <cmath>

#include "cicadadrum/base/hash.h"
#include "world.h"

namespace cicadadrum {

namespace {

// Time until a caller detects that its entry VM was lost.
constexpr Duration kEntryLossDetectionTime = Milliseconds(500);
constexpr std::uint32_t kMaxCallerAttempts = 4;
// Number of distinct reads of one client account in each service.
constexpr std::uint64_t kPathsPerClientAccount = 200;

Duration DeadlineOf(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kUrgent:
      return Seconds(1);
    case RequestClass::kRoutine:
      return Seconds(2);
    case RequestClass::kWrite:
      return Seconds(5);
    case RequestClass::kBulk:
      break;
  }
  return Seconds(20);
}

// Draws from the exponential distribution with mean 1.
double Exponential(Random& random) {
  return -std::log(1.0 - RandomUnit(random));
}

// Draws a service time: half of `mean` is fixed, and the other half is the mean
// of an exponential distribution, whose tail is long.
Duration DrawWork(Random& random, Duration mean) {
  const double factor = 0.5 + (0.5 * Exponential(random));
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor));
}

// Returns the number of slots of a service in a region.
double CapacityOf(const World& world,
                  const std::string& service,
                  const std::string& region) {
  double slots = 0;
  for (const BackendServer& server : world.deployment->servers) {
    if (server.service == service && server.region == region)
      slots += server.slots;
  }
  return slots;
}

// The arrivals of one stream in one region.
struct Arrivals {
  std::size_t stream = 0;  // Index in Scenario::streams.
  std::string region;
  double mean_interval = 0;  // Microseconds.
};

void ScheduleArrival(World& world, const Arrivals& arrivals) {
  const Stream& stream = world.scenario->streams[arrivals.stream];
  const TimePoint at =
      std::max(Now(world), stream.from) +
      Duration(static_cast<std::int64_t>(arrivals.mean_interval *
                                         Exponential(world.arrival_random)));
  if (at >= stream.to || at >= TimePoint(world.scenario->end))
    return;
  Schedule(world.queue, at, [&world, arrivals] {
    ScheduleArrival(world, arrivals);
    const std::size_t caller = CreateRequest(
        world, world.scenario->streams[arrivals.stream], arrivals.region);
    SendCallerAttempt(world, caller);
  });
}

// Returns the entry VMs in the order in which the caller uses them: those of
// the caller's region first, each group ranked by rendezvous hashing.
const std::vector<std::size_t>& RankEntries(World& world,
                                            const CallerRequest& caller) {
  auto& ranked =
      world.ranked_entries[caller.region + "/" + caller.client_account];
  if (!ranked.empty())
    return ranked;
  std::vector<std::string> names;
  for (const SimulatedEntry& entry : world.entries)
    names.push_back(entry.description.name);
  RankByRendezvous(caller.client_account, names);
  for (const bool local : {true, false}) {
    for (const std::string& name : names) {
      const std::size_t index = world.entry_index.at(name);
      if ((world.entries[index].description.region == caller.region) == local)
        ranked.push_back(index);
    }
  }
  return ranked;
}

// Records a response or a final failure of a request. A second response to the
// same request counts in SimulationResult::answers_missing.
void RecordResponse(World& world, CallerRequest& caller) {
  ++caller.response_count;
  if (caller.response_count == 1)
    --world.requests_without_response;
  else
    ++world.result.answers_missing;
}

// Counts a refused request. Its latency is the length of its deadline, so that
// a policy gains nothing by refusing slow requests.
void RecordRefusal(World& world, const CallerRequest& caller) {
  if (!caller.is_counted)
    return;
  ClassResult& result =
      world.result.classes[static_cast<std::size_t>(caller.request_class)];
  ++result.refused;
  result.latencies_with_refusals.push_back(
      (caller.deadline - caller.first_arrived_at).count());
}

}  // namespace

std::size_t CreateRequest(World& world,
                          const Stream& stream,
                          const std::string& region) {
  const std::size_t index = world.callers.size();
  CallerRequest caller;
  caller.client_account = world.client_accounts[RandomBelow(
      world.arrival_random, world.client_accounts.size())];
  caller.service = world.deployment->deployment
                       .services[static_cast<std::size_t>(stream.service)]
                       .name;
  caller.region = region;
  caller.request_class = stream.request_class;
  caller.work = DrawWork(world.arrival_random, stream.service_time);
  caller.first_arrived_at = Now(world);
  caller.deadline = Now(world) + DeadlineOf(stream.request_class);
  caller.is_counted = Now(world) >= TimePoint(world.scenario->warmup);
  const bool is_read = stream.request_class == RequestClass::kUrgent ||
                       stream.request_class == RequestClass::kRoutine;
  const std::uint64_t path =
      is_read ? RandomBelow(world.arrival_random, kPathsPerClientAccount)
              : kPathsPerClientAccount + index;
  caller.fingerprint =
      HashBytes(caller.client_account + caller.service + std::to_string(path));
  if (stream.request_class == RequestClass::kWrite)
    caller.key = "key-" + std::to_string(index);
  if (caller.is_counted) {
    ++world.result.requests;
    ++world.result.classes[static_cast<std::size_t>(caller.request_class)]
          .requests;
  }
  ++world.requests_without_response;
  world.callers.push_back(std::move(caller));
  return index;
}

void SendCallerAttempt(World& world, std::size_t index) {
  CallerRequest& caller = world.callers[index];
  for (const std::size_t entry : RankEntries(world, caller)) {
    if (!world.entries[entry].up)
      continue;
    ++caller.caller_attempts;
    const std::uint64_t request = world.next_request++;
    world.caller_attempts[request] = {index, entry};
    return Deliver(world, entry,
                   RequestArrived{.request = request,
                                  .client_account = caller.client_account,
                                  .service = caller.service,
                                  .request_class = caller.request_class,
                                  .key = caller.key,
                                  .fingerprint = caller.fingerprint,
                                  .deadline = caller.deadline});
  }
  RecordRefusal(world, caller);
  RecordResponse(world, caller);
}

void ReceiveAnswer(World& world, const AnswerCaller& answer) {
  const auto found = world.caller_attempts.find(answer.request);
  if (found == world.caller_attempts.end()) {
    ++world.result.answers_missing;
    return;
  }
  CallerRequest& caller = world.callers[found->second.caller];
  world.caller_attempts.erase(found);
  RecordResponse(world, caller);
  if (answer.source == AnswerSource::kSelf)
    return RecordRefusal(world, caller);
  if (answer.source == AnswerSource::kBackend)
    world.result.useful_time +=
        world.attempts.at(AttemptId(answer.request, answer.attempt))
            .run_time.count();
  if (!caller.is_counted)
    return;
  ClassResult& result =
      world.result.classes[static_cast<std::size_t>(caller.request_class)];
  const std::int64_t latency = (Now(world) - caller.first_arrived_at).count();
  result.latencies.push_back(latency);
  result.latencies_with_refusals.push_back(latency);
}

void FailCallerAttemptsAt(World& world, std::size_t entry) {
  std::vector<std::pair<std::uint64_t, std::size_t>> lost_attempts;
  for (const auto& [request, sent] : world.caller_attempts) {
    if (sent.entry == entry)
      lost_attempts.emplace_back(request, sent.caller);
  }
  std::sort(lost_attempts.begin(), lost_attempts.end());
  for (const auto& [request, index] : lost_attempts) {
    world.caller_attempts.erase(request);
    Schedule(world.queue, Now(world) + kEntryLossDetectionTime,
             [&world, index = index] {
               CallerRequest& caller = world.callers[index];
               if (caller.caller_attempts < kMaxCallerAttempts &&
                   Now(world) < caller.deadline)
                 return SendCallerAttempt(world, index);
               RecordRefusal(world, caller);
               RecordResponse(world, caller);
             });
  }
}

void StartStreams(World& world) {
  for (std::size_t i = 0; i < world.scenario->streams.size(); ++i) {
    const Stream& stream = world.scenario->streams[i];
    const std::string& service =
        world.deployment->deployment
            .services[static_cast<std::size_t>(stream.service)]
            .name;
    for (const Region& region : world.deployment->deployment.regions) {
      const double work = stream.share *
                          CapacityOf(world, service, region.name) *
                          world.options.load;
      if (work > 0)
        ScheduleArrival(
            world, {i, region.name,
                    static_cast<double>(stream.service_time.count()) / work});
    }
  }
}

}  // namespace cicadadrum
