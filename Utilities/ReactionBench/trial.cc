// Runs the processes, callers and changes of one trial on one event loop.

#include "trial.h"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <vector>

#include "configurations.h"
#include "fleet.h"
#include "headers.h"

namespace cicadadrum::platform {

namespace {

// A core's share is a quota: a process runs for the first ticks of a period and
// then stands still.
constexpr Duration kTick = Milliseconds(10);
constexpr std::uint64_t kTicksPerPeriod = 10;
constexpr std::uint64_t kTicksPerProbe = 5;

constexpr Duration kCallerTimeout = Seconds(5);
// No request reaches a leaving server any more after this time without one.
constexpr Duration kQuietTime = Seconds(3);
constexpr std::uint64_t kObjects = 24;
constexpr std::string_view kLeavingServer = "s-two";

const std::string kReadHost = "host";
const std::string kReadPrefix = "/read/";

std::string HostOf(std::size_t route) {
  return "host-" + std::to_string(route * 7919) + ".example";
}

std::string PrefixOf(std::size_t route) {
  return "/path-" + std::to_string(route * 31337) + "/a/";
}

// State of a probe route at one entry VM.
struct ProbeState {
  TimePoint last_outdated{};       // Send time of the last 404.
  TimePoint in_force_at = kNever;  // Time of the first other response.
};

class Trial {
 public:
  explicit Trial(const TrialOptions& options);
  TrialResult Run();

 private:
  void Tick();
  void SendLoad(const EntryProcess& entry);
  void SendProbe(std::size_t index);
  HttpRequest MakeRequest(const std::string& host, const std::string& target);
  std::string MakeConfiguration() const;
  std::string OtherServerRow(std::size_t number) const;
  bool WaitUntil(const std::function<bool()>& condition, Duration timeout);
  // Sends SIGSTOP or SIGCONT to all entry VMs whose turn it is.
  void ShareProcessor();
  // Makes a change while the entry VMs are paused, if the options say so, and
  // returns the time from which the reaction counts.
  TimePoint Change(const std::function<void()>& change);
  bool ChangeConfiguration(TrialResult& result);
  bool ChangeServer(TrialResult& result);
  std::uint64_t LargestWrittenBytes() const;

  TrialOptions options_;
  EventLoop loop_;
  StoreStandIn store_{loop_};
  ServerStandIn server_one_{loop_, "s-one", SoakFailureDomainOf(0).name};
  ServerStandIn server_two_{loop_, std::string(kLeavingServer),
                            SoakFailureDomainOf(0).name};
  HttpClient client_{loop_, {.max_connections_per_address = 64}};
  std::unique_ptr<Fleet> fleet_;
  Timer ticker_{loop_, [this] { Tick(); }};
  std::uint64_t ticks_ = 0;
  bool paused_ = false;
  bool sends_load_ = false;
  std::uint64_t version_ = 1;
  std::uint64_t next_request_ = 1;
  std::vector<ProbeState> probes_;
};

Trial::Trial(const TrialOptions& options) : options_(options) {
  store_.Put("op", "config", MakeConfiguration());
  store_.Put("servers", server_one_.id(), server_one_.Row("ready"));
  store_.Put("servers", server_two_.id(), server_two_.Row("ready"));
  for (std::size_t i = 2; i < options_.servers; ++i)
    store_.Put("servers", "other-" + std::to_string(i), OtherServerRow(i));
  fleet_ = std::make_unique<Fleet>(loop_, options_.program, options_.folder,
                                   store_.address(), options_.entry_count);
  probes_.resize(options_.entry_count);
}

std::string Trial::MakeConfiguration() const {
  std::vector<ConfiguredRoute> routes = {
      {.name = "r1", .prefix = kReadPrefix},
      {.name = "probe", .prefix = "/probe-" + std::to_string(version_) + "/"}};
  for (std::size_t i = routes.size(); i < options_.routes; ++i)
    routes.push_back({.name = "route-" + std::to_string(i),
                      .host = HostOf(i),
                      .prefix = PrefixOf(i)});
  return ConfigurationBody(version_, routes);
}

std::string Trial::OtherServerRow(std::size_t number) const {
  std::string row = server_one_.RowAt("127.0.0.1:9", "ready");
  const std::string service = "\"desk\"";
  return row.replace(row.find(service), service.size(),
                     "\"other-" + std::to_string(number % 3) + "\"");
}

void Trial::ShareProcessor() {
  const std::uint64_t run_ticks = std::max<std::uint64_t>(
      options_.processor_percent * kTicksPerPeriod / 100, 1);
  std::uint64_t offset = 0;
  for (const EntryProcess& entry : fleet_->entries()) {
    const std::uint64_t tick = (ticks_ + offset++) % kTicksPerPeriod;
    if (entry.pid != 0 && !paused_ && tick == 0)
      kill(entry.pid, SIGCONT);
    if (entry.pid != 0 && tick == run_ticks)
      kill(entry.pid, SIGSTOP);
  }
}

void Trial::Tick() {
  ticker_.Schedule(loop_.Now() + kTick);
  ++ticks_;
  ShareProcessor();
  if (!sends_load_)
    return;
  const std::uint64_t ticks_per_second = Seconds(1) / kTick;
  for (std::size_t i = 0; i < probes_.size(); ++i) {
    const EntryProcess& entry = fleet_->entries()[i];
    for (std::uint64_t sent = ticks_ * options_.load / ticks_per_second;
         sent > (ticks_ - 1) * options_.load / ticks_per_second; --sent)
      SendLoad(entry);
    if ((ticks_ + i) % kTicksPerProbe == 0)
      SendProbe(i);
  }
}

HttpRequest Trial::MakeRequest(const std::string& host,
                               const std::string& target) {
  const std::uint64_t number = next_request_++;
  return {.target = target,
          .headers = {{"Host", host},
                      {std::string(kRequestId), "id-" + std::to_string(number)},
                      {std::string(kDeadline),
                       std::to_string(kCallerTimeout / Milliseconds(1))},
                      {"Cookie", std::string(kObjectCookie) + "=" +
                                     std::to_string(number % kObjects)}}};
}

void Trial::SendLoad(const EntryProcess& entry) {
  // Each second request uses the next of the routes.
  const std::size_t route = next_request_ / 2 % options_.routes;
  const bool uses_route = next_request_ % 2 == 0 && route >= 2;
  const std::string host = uses_route ? HostOf(route) : kReadHost;
  const std::string prefix = uses_route ? PrefixOf(route) : kReadPrefix;
  client_.Send(
      entry.caller_address, MakeRequest(host, prefix + "a"),
      loop_.Now() + kCallerTimeout,
      [](HttpOutcome /*outcome*/, const HttpResponse& /*response*/) {});
}

void Trial::SendProbe(std::size_t index) {
  const std::uint64_t version = version_;
  const TimePoint sent_at = loop_.Now();
  client_.Send(
      fleet_->entries()[index].caller_address,
      MakeRequest(kReadHost, "/probe-" + std::to_string(version) + "/a"),
      sent_at + kCallerTimeout,
      [this, index, version, sent_at](HttpOutcome outcome,
                                      const HttpResponse& response) {
        if (outcome != HttpOutcome::kAnswered || version != version_)
          return;
        ProbeState& probe = probes_[index];
        if (response.status == 404)
          probe.last_outdated = std::max(probe.last_outdated, sent_at);
        else
          probe.in_force_at = std::min(probe.in_force_at, loop_.Now());
      });
}

bool Trial::WaitUntil(const std::function<bool()>& condition,
                      Duration timeout) {
  const TimePoint end = loop_.Now() + timeout;
  Timer timer(loop_, [this] { loop_.Stop(); });
  while (!condition() && loop_.Now() < end) {
    timer.Schedule(loop_.Now() + kTick);
    loop_.Run();
  }
  return condition();
}

TimePoint Trial::Change(const std::function<void()>& change) {
  paused_ = options_.pause > Duration::zero();
  if (!paused_) {
    change();
    return loop_.Now();
  }
  // Longer than a period, so that all entry VMs stand still.
  WaitUntil([] { return false; }, kTick * (kTicksPerPeriod + 1));
  change();
  WaitUntil([] { return false; }, options_.pause);
  paused_ = false;
  return loop_.Now();
}

std::uint64_t Trial::LargestWrittenBytes() const {
  std::uint64_t largest = 0;
  for (const EntryProcess& entry : fleet_->entries()) {
    std::ifstream file("/proc/" + std::to_string(entry.pid) + "/io");
    std::string name;
    std::uint64_t value = 0;
    while (file >> name >> value) {
      if (name == "wchar:")
        largest = std::max(largest, value);
    }
  }
  return largest;
}

bool Trial::ChangeConfiguration(TrialResult& result) {
  const std::uint64_t bytes_before = LargestWrittenBytes();
  const TimePoint changed_at = Change([this] {
    ++version_;
    probes_.assign(probes_.size(), {});
    store_.Put("op", "config", MakeConfiguration());
  });
  const bool in_force = WaitUntil(
      [this] {
        return std::all_of(probes_.begin(), probes_.end(),
                           [](const ProbeState& probe) {
                             return probe.in_force_at != kNever;
                           });
      },
      kTrialTimeout);
  // Probes that were sent before may still be answered by the older one.
  WaitUntil([] { return false; }, Seconds(1));
  for (const ProbeState& probe : probes_) {
    result.outdated =
        std::max(result.outdated, probe.last_outdated - changed_at);
    result.in_force = std::max(result.in_force, probe.in_force_at - changed_at);
  }
  result.configuration_bytes = std::max(result.configuration_bytes,
                                        LargestWrittenBytes() - bytes_before);
  return in_force;
}

bool Trial::ChangeServer(TrialResult& result) {
  const TimePoint changed_at = Change([this] {
    server_two_.AdvanceSequence();
    store_.Put("servers", server_two_.id(), server_two_.Row("draining"));
  });
  const auto last_arrival = [this] {
    return server_two_.arrivals().empty() ? TimePoint{}
                                          : server_two_.arrivals().back().at;
  };
  const bool is_quiet = WaitUntil(
      [&] {
        return loop_.Now() - std::max(last_arrival(), changed_at) > kQuietTime;
      },
      kTrialTimeout);
  result.leaving = std::max(result.leaving, last_arrival() - changed_at);
  server_two_.AdvanceSequence();
  store_.Put("servers", server_two_.id(), server_two_.Row("ready"));
  const bool is_used_again = WaitUntil(
      [&] { return last_arrival() > changed_at + kQuietTime; }, kTrialTimeout);
  return is_quiet && is_used_again;
}

TrialResult Trial::Run() {
  TrialResult result;
  for (EntryProcess& entry : fleet_->entries())
    fleet_->Start(entry);
  // The processes start with a whole processor each.
  WaitUntil([] { return false; }, Seconds(2));
  ticker_.Schedule(loop_.Now());
  sends_load_ = true;
  const auto serves = [this] { return !server_two_.arrivals().empty(); };
  result.completed = WaitUntil(serves, kTrialTimeout);
  WaitUntil([] { return false; }, Seconds(2));
  for (std::uint32_t i = 0; i < options_.repeats && result.completed; ++i)
    result.completed = ChangeConfiguration(result) && ChangeServer(result);
  return result;
}

}  // namespace

TrialResult RunTrial(const TrialOptions& options) {
  return Trial(options).Run();
}

}  // namespace cicadadrum::platform
