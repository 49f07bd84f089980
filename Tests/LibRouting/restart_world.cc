// Entry VMs and servers in virtual time, with restarts of servers.

#include "restart_world.h"

#include <algorithm>
#include <cmath>

#include "routing_fixture.h"

namespace cicadadrum::routing {

namespace {

constexpr std::size_t kRegions = 3;
constexpr std::size_t kDomains = 6;
constexpr Duration kHeartbeat = Milliseconds(1500);
constexpr Duration kRowLifetime = kHeartbeat * 3;
constexpr Duration kIdleClose = Seconds(10);
constexpr Duration kHandshake = Milliseconds(1);
constexpr Duration kHealthTime = Milliseconds(6);
constexpr Duration kMemberLossTime = Seconds(3);
constexpr Duration kWork = Milliseconds(540);
constexpr double kCachedWorkShare = 0.3;
constexpr double kColdWorkFactor = 2;
constexpr std::size_t kCachedObjects = 53;
constexpr double kObjectSkew = 0.2;
constexpr double kWriteShare = 0.25;

std::string DomainOf(std::size_t index) {
  return "domain-" + std::to_string(index % kDomains);
}

std::size_t RegionIndex(const std::string& domain) {
  return static_cast<std::size_t>(domain.back() - '0') % kRegions;
}

std::string RegionOf(const std::string& domain) {
  return "region-" + std::to_string(RegionIndex(domain));
}

RoutingOptions OptionsOf(const RestartWorldOptions& world,
                         std::size_t entry,
                         const std::string& domain) {
  RoutingOptions options{.name = "entry-" + std::to_string(entry),
                         .region = RegionOf(domain),
                         .failure_domain = domain,
                         .bounds = {.retry_extra = 58,
                                    .cold_load_factor = kColdLoadFactor,
                                    .cold_extra = world.cold_extra}};
  for (std::size_t i = 0; i < kDomains; ++i)
    options.region_by_domain[DomainOf(i)] = RegionOf(DomainOf(i));
  return options;
}

RoutingConfiguration MakeConfiguration(double cold_requests_per_second) {
  RoutingConfiguration configuration{
      .version = 1,
      .routes = {MakeRoute("read", RouteKind::kSafe, "desk"),
                 MakeRoute("write", RouteKind::kUnsafe, "desk")},
      .services = {{.name = "desk",
                    .health_path = "/health",
                    .cold_time = kColdTime,
                    .cold_requests_per_second = cold_requests_per_second}}};
  for (Route& route : configuration.routes) {
    route.timeout = Seconds(3);
    route.latency_objective = Milliseconds(500);
  }
  return configuration;
}

}  // namespace

double AnswerCounts::Share() const {
  return static_cast<double>(latencies.size()) /
         static_cast<double>(std::max<std::size_t>(arrived, 1));
}

Duration AnswerCounts::Median() const {
  std::vector<Duration> sorted = latencies;
  std::sort(sorted.begin(), sorted.end());
  return sorted.empty() ? Duration::max() : sorted[sorted.size() / 2];
}

RestartWorld::RestartWorld(const RestartWorldOptions& options)
    : options_(options), random_{options.seed}, now_(kStart) {
  servers_.resize(options.servers);
  entries_.resize(options.entries);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    servers_[i].id = "server-" + std::to_string(i);
    servers_[i].domain = DomainOf(i);
    servers_[i].row_version = 1;
    listed_[i] = RowOf(i);
    const auto phase = static_cast<std::int64_t>(
        RandomBelow(random_, static_cast<std::uint64_t>(kHeartbeat.count())));
    At(now_ + Duration(phase), [this, i] { Beat(i, 1); });
  }
  for (std::size_t i = 0; i < entries_.size(); ++i)
    entries_[i].domain = DomainOf(i);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    StartEntry(i);
    // The entry VMs started and found each other long ago.
    entries_[i].state.started_at = kStart - Seconds(60);
  }
  At(now_, [this] { SendRequest(); });
}

void RestartWorld::At(TimePoint at, std::function<void()> action) {
  queue_.emplace(at, std::move(action));
}

void RestartWorld::RunUntil(TimePoint end) {
  while (!queue_.empty() && queue_.begin()->first <= end) {
    const auto node = queue_.extract(queue_.begin());
    now_ = node.key();
    node.mapped()();
  }
  now_ = end;
}

void RestartWorld::RestartServer(std::size_t server, Duration down) {
  Backend& backend = servers_[server];
  if (!backend.up)
    return;
  backend.up = false;
  backend.running = 0;
  backend.cached.clear();
  for (auto& [request, attempt] : attempts_) {
    if (attempt.server == server && attempt.phase == Phase::kRunning)
      End({request, attempt.number}, LossOf(attempt));
  }
  // Some entry VMs notice the end of an idle connection only at its next use.
  for (Entry& entry : entries_) {
    if (RandomBelow(random_, 2) == 0)
      entry.idle.erase(server);
  }
  At(now_ + down, [this, server] {
    Backend& started = servers_[server];
    started.up = true;
    started.started_at = now_;
    started.cold_arrivals.clear();
    Beat(server, ++started.incarnation);
  });
}

void RestartWorld::RestartThird(Duration down) {
  for (std::size_t i = 0; i < servers_.size(); i += 3)
    RestartServer(i, down);
}

void RestartWorld::LoseConnection(std::size_t server) {
  for (const auto& [request, attempt] : attempts_) {
    if (attempt.server != server || attempt.phase != Phase::kRunning)
      continue;
    --servers_[server].running;
    return End({request, attempt.number}, LossOf(attempt));
  }
}

void RestartWorld::DropIdleConnections(std::size_t server) {
  for (Entry& entry : entries_) {
    // No incarnation has the number 0, so the next use fails.
    for (Connection& connection : entry.idle[server])
      connection.incarnation = 0;
  }
}

void RestartWorld::CountAnswers(TimePoint begin, TimePoint end) {
  count_from_ = begin;
  count_until_ = end;
}

void RestartWorld::RestartEntry(std::size_t entry, Duration down) {
  std::vector<std::uint64_t> ended;
  for (const auto& [request, attempt] : attempts_) {
    if (attempt.entry == entry)
      ended.push_back(request);
  }
  for (const std::uint64_t request : ended)
    Abandon(request);
  entries_[entry].up = false;
  entries_[entry].idle.clear();
  At(now_ + down, [this, entry] { StartEntry(entry); });
}

void RestartWorld::CutEntry(std::size_t entry, bool cut) {
  entries_[entry].cut = cut;
  if (!cut)
    SendFullList(entry);
  At(now_ + (cut ? kMemberLossTime : Duration::zero()), [this] {
    for (std::size_t i = 0; i < entries_.size(); ++i)
      SendMembers(i);
  });
}

void RestartWorld::StartEntry(std::size_t entry) {
  Entry& started = entries_[entry];
  started.state =
      MakeRoutingState(OptionsOf(options_, entry, started.domain),
                       options_.seed + entry * 97 + started.boot * 7919);
  started.up = true;
  ++started.boot;
  started.wake_at = kNever;
  Step(entry, ConfigurationAdopted{
                  MakeConfiguration(options_.cold_requests_per_second)});
  SendFullList(entry);
  SendMembers(entry);
  Step(entry, ConfigurationConfirmed{});
}

void RestartWorld::SendMembers(std::size_t entry) {
  MembersChanged members;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (i == entry || (!entries_[i].cut && !entries_[entry].cut))
      members.entries.push_back({"entry-" + std::to_string(i),
                                 RegionOf(entries_[i].domain),
                                 entries_[i].domain});
  }
  Step(entry, members);
}

void RestartWorld::SendFullList(std::size_t entry) {
  ServersChanged list{.is_full_list = true};
  for (const auto& [server, row] : listed_)
    list.updated.push_back(row);
  Step(entry, list);
}

ServerEntry RestartWorld::RowOf(std::size_t server) const {
  const Backend& backend = servers_[server];
  ServerEntry row = MakeServer(backend.id, backend.domain);
  row.address = std::to_string(server);
  row.slots = static_cast<std::uint32_t>(options_.slots);
  row.cold_left =
      std::max(Duration::zero(), backend.started_at + kColdTime - now_);
  row.row_version = backend.row_version;
  row.started_unix_ms = static_cast<std::int64_t>(backend.incarnation);
  row.sequence = static_cast<std::int64_t>(backend.row_version);
  return row;
}

void RestartWorld::Beat(std::size_t server, std::uint64_t incarnation) {
  Backend& backend = servers_[server];
  if (!backend.up || backend.incarnation != incarnation)
    return;
  const std::uint64_t version = ++backend.row_version;
  Publish({.updated = {RowOf(server)}});
  At(now_ + kHeartbeat, [=, this] { Beat(server, incarnation); });
  At(now_ + kRowLifetime, [=, this] {
    if (servers_[server].row_version == version)
      Publish({.removed = {servers_[server].id}});
  });
}

void RestartWorld::Publish(const ServersChanged& change) {
  At(now_ + options_.min_row_lag, [this, change] {
    for (const ServerEntry& row : change.updated)
      listed_[std::stoul(row.address)] = row;
    for (const std::string& id : change.removed)
      std::erase_if(listed_,
                    [&](const auto& row) { return row.second.id == id; });
  });
  for (std::size_t i = 0; i < entries_.size(); ++i)
    At(now_ + RandomLag(), [this, i, change] {
      if (entries_[i].up && !entries_[i].cut)
        Step(i, change);
    });
}

void RestartWorld::SendRequest() {
  const double gap_s =
      -std::log(1 - RandomUnit(random_)) / options_.requests_per_second;
  At(std::max(now_, load_from_) + Microseconds(1) +
         Duration(static_cast<std::int64_t>(gap_s * 1e6)),
     [this] { SendRequest(); });
  const auto entry =
      static_cast<std::size_t>(RandomBelow(random_, entries_.size()));
  if (!entries_[entry].up || now_ < load_from_)
    return;
  // The inverse of a power function approximates Zipf's law.
  const double position = std::pow(RandomUnit(random_), 1 / (1 - kObjectSkew));
  const bool is_write = RandomUnit(random_) < kWriteShare;
  const std::uint64_t request = next_request_++;
  if (now_ >= count_from_ && now_ < count_until_) {
    counted_[request] = now_;
    ++answers_.arrived;
  }
  Step(entry,
       RequestArrived{
           .request = request,
           .host = "host:80",
           .path = is_write ? "/write/x" : "/read/x",
           .object = 1 + static_cast<std::uint64_t>(
                             position * static_cast<double>(options_.objects)),
           .remaining = Seconds(3),
           .fingerprint = request});
}

void RestartWorld::Step(std::size_t entry, const RoutingEvent& event) {
  RoutingActions actions;
  StepRouting(entries_[entry].state, event, now_, actions);
  for (const RoutingAction& action : actions)
    Perform(entry, action);
}

void RestartWorld::Perform(std::size_t entry, const RoutingAction& action) {
  Entry& from = entries_[entry];
  if (const auto* send = std::get_if<SendAttempt>(&action))
    BeginAttempt(entry, *send);
  is_confirmed_ =
      is_confirmed_ || std::holds_alternative<TransmitAttempt>(action);
  if (const auto* delivered = std::get_if<DeliverResponse>(&action)) {
    const auto counted = counted_.find(delivered->request);
    if (counted != counted_.end())
      answers_.latencies.push_back(now_ - counted->second);
  }
  if (const auto* cancel = std::get_if<CancelAttempt>(&action))
    Abandon(cancel->request);
  if (const auto* share = std::get_if<ShareObservations>(&action)) {
    for (const std::string& name : share->receivers) {
      const std::size_t to = std::stoul(name.substr(name.find('-') + 1));
      At(now_ + Milliseconds(30), [=, this, share = *share] {
        if (entries_[to].up && !entries_[to].cut && !entries_[entry].cut)
          Step(to, ObservationsReceived{share.observations});
      });
    }
  }
  const auto* wake = std::get_if<WakeAt>(&action);
  if (wake == nullptr || wake->at == kNever || wake->at == from.wake_at)
    return;
  from.wake_at = wake->at;
  At(std::max(wake->at, now_), [=, this, at = wake->at, boot = from.boot] {
    Entry& woken = entries_[entry];
    if (woken.boot != boot || !woken.up || woken.wake_at != at)
      return;
    woken.wake_at = kNever;
    Step(entry, TimerExpired{});
  });
}

void RestartWorld::BeginAttempt(std::size_t entry, const SendAttempt& send) {
  const std::size_t server = std::stoul(send.address);
  Attempt attempt{.entry = entry,
                  .number = send.attempt,
                  .server = server,
                  .is_unsafe = send.inputs.kind == RouteKind::kUnsafe};
  if (options_.checks_connections)
    attempt.check = send.cold_check;
  std::optional<Connection> idle;
  if (!send.fresh_connection)
    idle = TakeIdle(attempt);
  attempt.is_reused = idle.has_value();
  attempt.connection = idle.value_or(Connection{});
  attempts_[send.request] = attempt;
  const AttemptKey key{send.request, send.attempt};
  At(now_ + OneWay(attempt), [=, this] {
    if (idle)
      Receive(key);
    else
      Connect(key);
  });
}

void RestartWorld::Connect(AttemptKey key) {
  Attempt* attempt = Find(key);
  if (attempt == nullptr)
    return;
  const Backend& backend = servers_[attempt->server];
  if (!backend.up)
    return End(key, ServerOutcome::kNotSent);
  const Duration one_way = OneWay(*attempt);
  attempt->connection = {.incarnation = backend.incarnation,
                         .opened_at = now_ + one_way + kHandshake};
  At(attempt->connection.opened_at, [=, this] { UseConnection(key); });
}

void RestartWorld::UseConnection(AttemptKey key) {
  const Attempt* attempt = Find(key);
  if (attempt == nullptr)
    return;
  if (!NeedsCheck(*attempt, attempt->connection))
    return Confirm(key);
  At(now_ + OneWay(*attempt), [=, this] { CheckConnection(key); });
}

void RestartWorld::Confirm(AttemptKey key) {
  const Attempt* attempt = Find(key);
  if (attempt == nullptr)
    return;
  const Duration one_way = OneWay(*attempt);
  is_confirmed_ = false;
  Step(attempt->entry, ConnectionReady{key.first, key.second});
  if (is_confirmed_)
    return At(now_ + one_way, [=, this] { Receive(key); });
  ReportEnd(key, {.request = key.first,
                  .attempt = key.second,
                  .outcome = ServerOutcome::kWithheld});
}

void RestartWorld::CheckConnection(AttemptKey key) {
  Attempt* attempt = Find(key);
  if (attempt == nullptr)
    return;
  const Backend& backend = servers_[attempt->server];
  if (!backend.up || attempt->connection.incarnation != backend.incarnation)
    return End(key, ServerOutcome::kNotSent);
  if (IsCold(backend))
    return End(key, ServerOutcome::kCold);
  attempt->connection.check_passed = true;
  At(now_ + kHealthTime + OneWay(*attempt), [=, this] { Confirm(key); });
}

void RestartWorld::Receive(AttemptKey key) {
  Attempt* attempt = Find(key);
  if (attempt == nullptr)
    return;
  Backend& backend = servers_[attempt->server];
  if (!backend.up || attempt->connection.incarnation != backend.incarnation)
    return End(key, LossOf(*attempt));
  CountArrival(attempt->server);
  ++backend.running;
  attempt->phase = Phase::kRunning;
  const std::uint64_t object =
      entries_[attempt->entry].state.requests.at(key.first).object;
  At(now_ + WorkOn(backend, object), [=, this] { Finish(key); });
}

void RestartWorld::CountArrival(std::size_t server) {
  Backend& backend = servers_[server];
  if (!IsCold(backend))
    return;
  auto& arrivals = backend.cold_arrivals;
  arrivals.push_back(now_);
  while (arrivals.front() <= now_ - Seconds(1))
    arrivals.pop_front();
  ++cold_requests_;
  if (arrivals.size() > cold_peak_.requests)
    cold_peak_ = {arrivals.size(), server, now_};
}

void RestartWorld::Finish(AttemptKey key) {
  const Attempt* attempt = Find(key);
  if (attempt == nullptr || attempt->phase != Phase::kRunning)
    return;
  --servers_[attempt->server].running;
  End(key, ServerOutcome::kSucceeded);
}

void RestartWorld::End(AttemptKey key, ServerOutcome outcome) {
  Attempt& attempt = *Find(key);
  attempt.phase = Phase::kEnded;
  AttemptEnded end{
      .request = key.first, .attempt = key.second, .outcome = outcome};
  if (outcome == ServerOutcome::kCold)
    end.cold_left = servers_[attempt.server].started_at + kColdTime - now_;
  if (outcome == ServerOutcome::kSucceeded) {
    const std::size_t running = servers_[attempt.server].running;
    const std::size_t in_slots = std::min(running, options_.slots);
    end.report = {.running = static_cast<std::uint32_t>(in_slots),
                  .waiting = static_cast<std::uint32_t>(running - in_slots),
                  .slots = static_cast<std::uint32_t>(options_.slots)};
  }
  At(now_ + OneWay(attempt), [=, this] { ReportEnd(key, end); });
}

void RestartWorld::ReportEnd(AttemptKey key, AttemptEnded end) {
  const Attempt* found = Find(key);
  if (found == nullptr)
    return;
  const Attempt attempt = *found;
  attempts_.erase(key.first);
  const bool is_lost = end.outcome == ServerOutcome::kLost ||
                       end.outcome == ServerOutcome::kLostUnused;
  if (is_lost && attempt.is_unsafe && counted_.contains(key.first))
    ++answers_.unsafe_losses;
  if (end.report || end.outcome == ServerOutcome::kCold ||
      end.outcome == ServerOutcome::kWithheld) {
    Connection idle = attempt.connection;
    idle.idle_since = now_;
    entries_[attempt.entry].idle[attempt.server].push_back(idle);
  }
  Step(attempt.entry, end);
}

// Closes the connection of the request's attempt; its server drops the request.
void RestartWorld::Abandon(std::uint64_t request) {
  const auto found = attempts_.find(request);
  if (found == attempts_.end())
    return;
  const Attempt attempt = found->second;
  attempts_.erase(found);
  if (attempt.phase == Phase::kRunning)
    --servers_[attempt.server].running;
}

RestartWorld::Attempt* RestartWorld::Find(AttemptKey key) {
  const auto found = attempts_.find(key.first);
  if (found == attempts_.end() || found->second.number != key.second)
    return nullptr;
  return &found->second;
}

bool RestartWorld::NeedsCheck(const Attempt& attempt,
                              const Connection& connection) const {
  return attempt.check && !connection.check_passed &&
         now_ - connection.opened_at < attempt.check->cold_time;
}

// Returns the connection that was used last.
std::optional<RestartWorld::Connection> RestartWorld::TakeIdle(
    const Attempt& attempt) {
  auto& idle = entries_[attempt.entry].idle[attempt.server];
  std::erase_if(idle, [&](const Connection& connection) {
    return now_ - connection.idle_since >= kIdleClose;
  });
  const auto found = std::find_if(
      idle.rbegin(), idle.rend(),
      [&](const Connection& other) { return !NeedsCheck(attempt, other); });
  if (found == idle.rend())
    return std::nullopt;
  const Connection last = *found;
  idle.erase(std::next(found).base());
  return last;
}

ServerOutcome RestartWorld::LossOf(const Attempt& attempt) {
  return attempt.is_reused ? ServerOutcome::kLostUnused : ServerOutcome::kLost;
}

Duration RestartWorld::OneWay(const Attempt& attempt) const {
  const std::string& from = entries_[attempt.entry].domain;
  const std::string& to = servers_[attempt.server].domain;
  if (from == to)
    return Microseconds(50);
  return RegionIndex(from) == RegionIndex(to) ? Microseconds(250)
                                              : Microseconds(27'500);
}

Duration RestartWorld::WorkOn(Backend& backend, std::uint64_t object) {
  const bool is_cached = std::erase(backend.cached, object) > 0;
  backend.cached.push_back(object);
  if (backend.cached.size() > kCachedObjects)
    backend.cached.pop_front();
  // Requests beyond the slots of the server slow down all of them.
  const double load = static_cast<double>(backend.running) /
                      static_cast<double>(options_.slots);
  const double share = (is_cached ? kCachedWorkShare : 1) *
                       (IsCold(backend) ? kColdWorkFactor : 1) *
                       std::max(1.0, load) * (0.85 + 0.3 * RandomUnit(random_));
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(kWork.count()) * share));
}

Duration RestartWorld::RandomLag() {
  const Duration span = options_.max_row_lag - options_.min_row_lag;
  return options_.min_row_lag +
         Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) *
                                            RandomUnit(random_)));
}

bool RestartWorld::IsCold(const Backend& backend) const {
  return now_ < backend.started_at + kColdTime;
}

}  // namespace cicadadrum::routing
