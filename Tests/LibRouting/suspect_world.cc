// Entry VMs and servers in virtual time.

#include "suspect_world.h"

#include <algorithm>
#include <utility>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr Duration kServerRestartTime = Seconds(2);
constexpr Duration kServerListingTime = Milliseconds(500);
constexpr Duration kConnectionRefusedTime = Milliseconds(1);
constexpr Duration kSynchronizationPeriod = Seconds(1);
// Time that an item takes to another entry VM.
constexpr std::uint64_t kMinItemMicroseconds = 20'000;
constexpr std::uint64_t kMaxItemMicroseconds = 400'000;

RoutingConfiguration MakeConfiguration(std::uint32_t max_attempts) {
  Route read = MakeRoute("read", RouteKind::kSafe, "desk");
  Route write = MakeRoute("write", RouteKind::kUnsafe, "desk");
  read.max_attempts = max_attempts;
  return {.version = 1,
          .routes = {read, write},
          .services = {{.name = "desk",
                        .cold_time = Seconds(3),
                        .cold_requests_per_second = 1000}}};
}

}  // namespace

SuspectWorld::SuspectWorld(const SuspectWorldOptions& options)
    : options_(options), now_(kStart) {
  random_.state = options.seed;
  servers_.resize(options.servers);
  entries_.resize(options.entries);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    servers_[i].domain = i % 2 == 0 ? "north-a" : "north-b";
    servers_[i].up = true;
  }
  for (std::size_t i = 0; i < entries_.size(); ++i)
    StartEntry(i);
}

void SuspectWorld::MakeCrashing(std::uint64_t fingerprint) {
  crashing_.insert(fingerprint);
}

void SuspectWorld::At(TimePoint at, std::function<void()> action) {
  queue_.emplace(at, std::move(action));
}

void SuspectWorld::RunUntil(TimePoint end) {
  while (!queue_.empty() && queue_.begin()->first <= end) {
    const auto node = queue_.extract(queue_.begin());
    now_ = node.key();
    node.mapped()();
  }
  now_ = end;
}

void SuspectWorld::Send(std::size_t entry,
                        std::uint64_t fingerprint,
                        const std::string& route) {
  Entry& at = entries_[entry];
  const std::uint64_t id = at.next_request++;
  at.requests[id] = {.fingerprint = fingerprint};
  ++counts_[fingerprint].sent;
  Step(entry, RequestArrived{.request = id,
                             .host = "host:80",
                             .path = "/" + route + "/x",
                             .object = fingerprint,
                             .remaining = Seconds(3),
                             .fingerprint = fingerprint});
}

void SuspectWorld::SendRepeatedly(std::uint64_t fingerprint,
                                  Duration interval,
                                  TimePoint end,
                                  const std::string& route) {
  if (now_ >= end)
    return;
  Send(RandomEntry(), fingerprint, route);
  At(now_ + interval,
     [=, this] { SendRepeatedly(fingerprint, interval, end, route); });
}

void SuspectWorld::CrashServer(std::size_t server) {
  Server& crashed = servers_[server];
  if (!crashed.up)
    return;
  crashed.up = false;
  crashed.idle.clear();
  crashed.dropped_idle = 0;
  At(now_ + kServerRestartTime, [this, server] { StartServer(server); });
  for (const auto& [number, attempt] : std::exchange(crashed.running, {}))
    EndAttempt(attempt, attempt.reused ? ServerOutcome::kLostUnused
                                       : ServerOutcome::kLost);
}

void SuspectWorld::CrashFailureDomain(const std::string& domain) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].domain == domain)
      CrashServer(i);
  }
}

void SuspectWorld::DropIdleConnections(std::size_t server) {
  for (const auto& [entry, count] : servers_[server].idle)
    servers_[server].dropped_idle += count;
}

void SuspectWorld::RestartEntry(std::size_t entry) {
  for (Server& server : servers_) {
    server.idle.erase(entry);
    std::erase_if(server.running, [&](const auto& running) {
      return running.second.entry == entry;
    });
  }
  StartEntry(entry);
}

void SuspectWorld::CutEntry(std::size_t entry, bool cut) {
  entries_[entry].cut = cut;
  entries_[entry].in_touch_from = cut ? kNever : now_ + kStableWindow;
}

void SuspectWorld::StartEntry(std::size_t entry) {
  Entry& started = entries_[entry];
  RoutingOptions options = MakeOptions();
  options.name = "entry-" + std::to_string(entry);
  options.bounds.retry_extra = 1000;
  started = {.state = MakeRoutingState(options, options_.seed + entry * 97),
             .boot = started.boot + 1,
             .next_request = started.next_request,
             .in_touch_from = now_ + kStableWindow};
  ServersChanged listed{.is_full_list = true};
  for (std::size_t i = 0; i < servers_.size(); ++i)
    listed.updated.push_back(EntryOf(i));
  std::vector<std::string> names;
  for (std::size_t i = 0; i < entries_.size(); ++i)
    names.push_back("entry-" + std::to_string(i));
  Step(entry, ConfigurationAdopted{MakeConfiguration(options_.max_attempts)});
  Step(entry, listed);
  Step(entry, Members(names));
  Step(entry, ConfigurationConfirmed{});
  started.state.started_at = now_ - Seconds(60);
  At(now_ + kSynchronizationPeriod, [=, this, boot = started.boot] {
    if (entries_[entry].boot == boot)
      Synchronize(entry);
  });
}

void SuspectWorld::StartServer(std::size_t server) {
  servers_[server].up = true;
  ++servers_[server].incarnation;
  At(now_ + kServerListingTime, [this, server] {
    for (std::size_t i = 0; i < entries_.size(); ++i)
      Step(i, ServersChanged{.updated = {EntryOf(server)}});
  });
}

ServerEntry SuspectWorld::EntryOf(std::size_t server) const {
  ServerEntry entry =
      MakeServer("s" + std::to_string(server), servers_[server].domain);
  entry.address = std::to_string(server);
  entry.slots = 8;
  entry.row_version = servers_[server].incarnation + 1;
  entry.started_unix_ms =
      static_cast<std::int64_t>(servers_[server].incarnation) + 1;
  return entry;
}

void SuspectWorld::Step(std::size_t entry, const RoutingEvent& event) {
  RoutingActions actions;
  StepRouting(entries_[entry].state, event, now_, actions);
  for (const RoutingAction& action : actions)
    Perform(entry, action);
}

void SuspectWorld::Perform(std::size_t entry, const RoutingAction& action) {
  Entry& at = entries_[entry];
  if (const auto* send = std::get_if<SendAttempt>(&action))
    BeginAttempt(entry, *send);
  if (const auto* delivered = std::get_if<DeliverResponse>(&action))
    ++counts_[at.requests.at(delivered->request).fingerprint].answered;
  if (const auto* refused = std::get_if<RefuseRequest>(&action)) {
    if (refused->reason == RefusalReason::kBlocked)
      ++counts_[at.requests.at(refused->request).fingerprint].blocked;
  }
  if (const auto* published = std::get_if<PublishSuspect>(&action)) {
    at.records[published->record.slot] = published->record;
    for (std::size_t i = 0; i < entries_.size() && !at.cut; ++i) {
      const auto delay = Duration(static_cast<std::int64_t>(
          kMinItemMicroseconds +
          RandomBelow(random_, kMaxItemMicroseconds - kMinItemMicroseconds)));
      At(now_ + delay, [this, i, record = published->record] {
        if (!entries_[i].cut)
          Adopt(i, record);
      });
    }
  }
  if (const auto* wake = std::get_if<WakeAt>(&action))
    Wake(entry, wake->at);
}

void SuspectWorld::BeginAttempt(std::size_t entry, const SendAttempt& send) {
  const auto index = static_cast<std::size_t>(std::stoul(send.address));
  Server& server = servers_[index];
  Attempt attempt{.entry = entry, .boot = entries_[entry].boot, .send = send};
  if (!server.up)
    return At(now_ + kConnectionRefusedTime, [this, attempt] {
      EndAttempt(attempt, ServerOutcome::kNotSent);
    });
  std::size_t& idle = server.idle[entry];
  if (!send.fresh_connection && idle > 0) {
    --idle;
    attempt.reused = true;
    if (server.dropped_idle > 0) {
      --server.dropped_idle;
      return At(now_ + kConnectionRefusedTime, [this, attempt] {
        EndAttempt(attempt, ServerOutcome::kLostUnused);
      });
    }
  }
  const std::uint64_t number = next_attempt_++;
  server.running[number] = attempt;
  Request& request = entries_[entry].requests.at(send.request);
  FingerprintCounts& counts = counts_[request.fingerprint];
  ++counts.arrivals;
  if (++request.arrivals > 1 && counts.third_crash != kNever &&
      now_ > counts.third_crash + kStableWindow &&
      now_ >= entries_[entry].in_touch_from)
    ++counts.late_retries;
  At(now_ + options_.work,
     [this, number, index] { RunAttempt(number, index); });
}

void SuspectWorld::RunAttempt(std::uint64_t number, std::size_t server) {
  const auto found = servers_[server].running.find(number);
  if (found == servers_[server].running.end())
    return;
  const Attempt attempt = found->second;
  const Entry& entry = entries_[attempt.entry];
  const std::uint64_t fingerprint =
      entry.requests.at(attempt.send.request).fingerprint;
  if (crashing_.contains(fingerprint)) {
    FingerprintCounts& counts = counts_[fingerprint];
    if (++counts.crashes == 3)
      counts.third_crash = now_;
    return CrashServer(server);
  }
  servers_[server].running.erase(found);
  ++servers_[server].idle[attempt.entry];
  EndAttempt(attempt, ServerOutcome::kSucceeded);
}

void SuspectWorld::EndAttempt(const Attempt& attempt, ServerOutcome outcome) {
  if (entries_[attempt.entry].boot != attempt.boot)
    return;
  Step(attempt.entry, AttemptEnded{.request = attempt.send.request,
                                   .attempt = attempt.send.attempt,
                                   .outcome = outcome});
}

// Keeps the newer one of two records of a slot, as LibMembership does.
void SuspectWorld::Adopt(std::size_t entry, const SuspectRecord& record) {
  Entry& at = entries_[entry];
  const auto [known, is_new] = at.records.try_emplace(record.slot, record);
  const auto rank = [](const SuspectRecord& ranked) {
    return std::pair(ranked.version, ranked.fingerprint);
  };
  if (!is_new && rank(record) <= rank(known->second))
    return;
  known->second = record;
  Step(entry, SuspectRecordReceived{record});
}

// Exchanges all records with a random entry VM, again and again.
void SuspectWorld::Synchronize(std::size_t entry) {
  const std::size_t peer = RandomEntry();
  if (!entries_[entry].cut && !entries_[peer].cut && peer != entry) {
    const auto own = entries_[entry].records;
    for (const auto& [slot, record] : std::map(entries_[peer].records))
      Adopt(entry, record);
    for (const auto& [slot, record] : own)
      Adopt(peer, record);
  }
  At(now_ + kSynchronizationPeriod, [=, this, boot = entries_[entry].boot] {
    if (entries_[entry].boot == boot)
      Synchronize(entry);
  });
}

void SuspectWorld::Wake(std::size_t entry, TimePoint at) {
  if (at == kNever || entries_[entry].wake_at == at)
    return;
  entries_[entry].wake_at = at;
  At(std::max(at, now_), [=, this, boot = entries_[entry].boot] {
    if (entries_[entry].boot != boot || entries_[entry].wake_at != at)
      return;
    entries_[entry].wake_at = kNever;
    Step(entry, TimerExpired{});
  });
}

std::size_t SuspectWorld::RandomEntry() {
  return static_cast<std::size_t>(RandomBelow(random_, entries_.size()));
}

}  // namespace cicadadrum::routing
