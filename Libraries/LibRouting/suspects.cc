// Suspects: requests that may crash the servers which run them.

#include "suspects.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "cicadadrum/base/hash.h"

namespace cicadadrum::routing {

namespace {

// How long evidence is kept. A request that crashes servers may come again
// after minutes.
constexpr Duration kSuspicionTime = Seconds(600);

// How long a first loss keeps its slot from a first loss of another suspect.
constexpr Duration kFirstLossSlotTime = Seconds(30);

// Time for which a suspect is blocked after the last of kLossesToBlock losses.
// Each further loss doubles it.
constexpr Duration kMinBlockTime = Seconds(10);
constexpr Duration kMaxBlockTime = Seconds(600);
// Random extension of a block, as a share of its time, so that the entry VMs do
// not try a blocked request at the same time.
constexpr double kBlockTimeSpread = 0.5;

// A trial holds back equal requests for this long at most, because the work on
// a request may take seconds.
constexpr Duration kMaxTrialTime = Seconds(1);

// Bounds of the delay before the trial that follows a second loss. The random
// delay separates suspects that were lost together, of which one may be guilty.
constexpr Duration kMinTrialDelay = Milliseconds(100);
constexpr Duration kMaxTrialDelay = Milliseconds(500);
constexpr std::uint32_t kLossesToDelay = 2;

// Servers of a failure domain that fails are lost within about this time.
constexpr Duration kFailingDomainTime = Seconds(2);

// Number of first losses that an entry VM publishes per second. A failure
// domain that is lost makes hundreds of harmless requests suspects.
constexpr std::uint32_t kMaxFirstLossesPerSecond = 4;

// A version is the number of earlier suspects and acquittals of the slot,
// followed by the number of losses in its low bits.
constexpr std::uint64_t kLossBits = 8;
constexpr std::uint64_t kMaxVersionLosses = (1U << kLossBits) - 1;

std::uint64_t NextVersion(const SuspectRecord& known,
                          std::uint64_t fingerprint,
                          std::uint32_t losses) {
  const bool continues = known.fingerprint == fingerprint && known.losses > 0 &&
                         losses > known.losses;
  const std::uint64_t term = (known.version >> kLossBits) + (continues ? 0 : 1);
  return (term << kLossBits) |
         std::min<std::uint64_t>(losses, kMaxVersionLosses);
}

bool IsCurrent(const Suspect& suspect, TimePoint now) {
  return now <
         std::max(suspect.updated_at, suspect.blocked_until) + kSuspicionTime;
}

const Suspect* FindSuspect(const RoutingState& state,
                           std::uint64_t fingerprint,
                           TimePoint now) {
  const auto& suspects = state.suspicions.suspects;
  if (suspects.empty())
    return nullptr;
  const auto found = suspects.find(fingerprint);
  return found != suspects.end() && IsCurrent(found->second, now)
             ? &found->second
             : nullptr;
}

SuspectSlot& SlotOf(RoutingState& state, std::uint64_t fingerprint) {
  return state.suspicions.slots[fingerprint % kSuspectSlots];
}

std::uint64_t TagOf(const ServerIncarnation& incarnation) {
  return HashBytes(incarnation.id,
                   static_cast<std::uint64_t>(incarnation.started_unix_ms));
}

// Removes the suspect with the least evidence, of these the oldest.
void MakeRoom(Suspicions& suspicions) {
  if (suspicions.suspects.size() < kMaxSuspects)
    return;
  const auto evidence = [](const auto& entry) {
    const Suspect& suspect = entry.second;
    return std::pair(suspect.losses, suspect.updated_at);
  };
  suspicions.suspects.erase(
      std::ranges::min_element(suspicions.suspects, {}, evidence));
}

Suspect& GetOrAddSuspect(RoutingState& state,
                         std::uint64_t fingerprint,
                         TimePoint now) {
  auto& suspects = state.suspicions.suspects;
  const auto found = suspects.find(fingerprint);
  if (found != suspects.end()) {
    if (!IsCurrent(found->second, now))
      found->second = {};
    return found->second;
  }
  MakeRoom(state.suspicions);
  return suspects[fingerprint];
}

Duration BlockTime(RoutingState& state, std::uint32_t losses) {
  Duration time = kMinBlockTime;
  for (std::uint32_t i = kLossesToBlock; i < losses && time < kMaxBlockTime;
       ++i)
    time *= 2;
  const double spread = kBlockTimeSpread * RandomUnit(state.random);
  return std::min(time, kMaxBlockTime) +
         Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) *
                                            spread));
}

Duration RandomTrialDelay(RoutingState& state) {
  const auto spread =
      static_cast<std::uint64_t>((kMaxTrialDelay - kMinTrialDelay).count());
  return kMinTrialDelay +
         Duration(static_cast<std::int64_t>(RandomBelow(state.random, spread)));
}

// Sets the number of losses and blocks the suspect if there are enough.
void SetLosses(RoutingState& state,
               std::uint64_t fingerprint,
               Suspect& suspect,
               std::uint32_t losses,
               ReportSuspicion report,
               TimePoint now,
               RoutingActions& actions) {
  suspect.losses = losses;
  suspect.updated_at = now;
  if (losses >= kLossesToDelay)
    suspect.trial_from = now + RandomTrialDelay(state);
  report.fingerprint = fingerprint;
  report.losses = losses;
  report.change = SuspicionChange::kSuspected;
  if (losses >= kLossesToBlock) {
    const Duration time = BlockTime(state, losses);
    suspect.blocked_until = now + time;
    report.change = SuspicionChange::kBlocked;
    report.block_time = time;
  }
  actions.emplace_back(std::move(report));
}

// Whether a record with `losses` may take the slot from its record.
bool MayTakeSlot(const SuspectSlot& slot,
                 std::uint64_t fingerprint,
                 std::uint32_t losses,
                 TimePoint now) {
  const SuspectRecord& known = slot.record;
  if (known.fingerprint == fingerprint || known.losses == 0 ||
      losses > known.losses)
    return true;
  const Duration held = now - slot.updated_at;
  return held >= (known.losses == 1 ? kFirstLossSlotTime : kSuspicionTime);
}

void Publish(RoutingState& state,
             std::uint64_t fingerprint,
             std::uint32_t losses,
             const std::vector<std::uint64_t>& servers,
             TimePoint now,
             RoutingActions& actions) {
  SuspectSlot& slot = SlotOf(state, fingerprint);
  if (!MayTakeSlot(slot, fingerprint, losses, now))
    return;
  slot.record = {
      .slot = static_cast<std::uint32_t>(fingerprint % kSuspectSlots),
      .version = NextVersion(slot.record, fingerprint, losses),
      .fingerprint = fingerprint,
      .losses = losses,
      .servers = servers};
  slot.updated_at = now;
  actions.emplace_back(PublishSuspect{slot.record});
}

bool ConsumeFirstLossBudget(Suspicions& suspicions, TimePoint now) {
  if (now - suspicions.publishing_since >= Seconds(1)) {
    suspicions.publishing_since = now;
    suspicions.published_losses = 0;
  }
  return ++suspicions.published_losses <= kMaxFirstLossesPerSecond;
}

}  // namespace

std::optional<TimePoint> BlockedUntil(const RoutingState& state,
                                      std::uint64_t fingerprint,
                                      TimePoint now) {
  const Suspect* suspect = FindSuspect(state, fingerprint, now);
  if (suspect == nullptr || suspect->blocked_until <= now)
    return std::nullopt;
  return suspect->blocked_until;
}

bool IsSuspect(const RoutingState& state,
               std::uint64_t fingerprint,
               TimePoint now) {
  return FindSuspect(state, fingerprint, now) != nullptr;
}

TimePoint NextTrialTime(const RoutingState& state,
                        std::uint64_t fingerprint,
                        TimePoint now) {
  const Suspect* suspect = FindSuspect(state, fingerprint, now);
  if (suspect == nullptr || now < suspect->blocked_until)
    return now;
  const TimePoint next =
      suspect->trial != 0 ? suspect->trial_until : suspect->trial_from;
  return std::max(next, now);
}

ServersToAvoid FindServersToAvoid(const RoutingState& state,
                                  const RequestState& request,
                                  TimePoint now) {
  ServersToAvoid avoid;
  for (const auto& [fingerprint, suspect] : state.suspicions.suspects) {
    const auto tried = state.requests.find(suspect.trial);
    if (now < suspect.trial_until && tried != state.requests.end() &&
        tried->second.attempt_in_progress)
      avoid.servers.push_back(tried->second.server);
  }
  const Suspect* suspect = FindSuspect(state, request.fingerprint, now);
  const auto service = state.services.find(request.service);
  if (suspect == nullptr || service == state.services.end())
    return avoid;
  std::set<std::string_view> domains;
  for (const std::string& id : service->second.servers) {
    const ServerEntry& entry = state.servers.at(id).entry;
    if (std::ranges::count(suspect->servers, TagOf(IncarnationOf(entry))) == 0)
      continue;
    avoid.servers.push_back(id);
    domains.insert(entry.failure_domain);
  }
  if (now - suspect->updated_at >= kFailingDomainTime)
    return avoid;
  for (const std::string& id : service->second.servers) {
    if (domains.contains(state.servers.at(id).entry.failure_domain))
      avoid.neighbours.push_back(id);
  }
  return avoid;
}

void StartTrial(RoutingState& state, std::uint64_t id, TimePoint now) {
  const auto found =
      state.suspicions.suspects.find(state.requests.at(id).fingerprint);
  if (found == state.suspicions.suspects.end())
    return;
  Suspect& suspect = found->second;
  suspect.trial = id;
  suspect.trial_until = now + kMaxTrialTime;
  // Equal requests don't wait for the trial of a request that was blocked.
  if (suspect.losses >= kLossesToBlock)
    suspect.blocked_until = suspect.trial_until;
}

void EndTrial(RoutingState& state,
              std::uint64_t id,
              std::uint64_t fingerprint) {
  const auto found = state.suspicions.suspects.find(fingerprint);
  if (found != state.suspicions.suspects.end() && found->second.trial == id)
    found->second.trial = 0;
}

void RecordLoss(RoutingState& state,
                std::uint64_t id,
                TimePoint now,
                RoutingActions& actions) {
  const RequestState& request = state.requests.at(id);
  Suspect& suspect = GetOrAddSuspect(state, request.fingerprint, now);
  const std::uint64_t server = TagOf(IncarnationOf(request));
  const bool is_first = suspect.losses == 0;
  if (!is_first && (request.sent_at < suspect.updated_at ||
                    std::ranges::count(suspect.servers, server) > 0))
    return;
  if (suspect.servers.size() >= kMaxLostServers)
    suspect.servers.erase(suspect.servers.begin());
  suspect.servers.push_back(server);
  SetLosses(state, request.fingerprint, suspect, suspect.losses + 1,
            {.request = id, .server = request.server}, now, actions);
  if (!is_first)
    Publish(state, request.fingerprint, suspect.losses, suspect.servers, now,
            actions);
}

void PublishFirstLoss(RoutingState& state,
                      std::uint64_t fingerprint,
                      TimePoint now,
                      RoutingActions& actions) {
  const Suspect* suspect = FindSuspect(state, fingerprint, now);
  const SuspectRecord& known = SlotOf(state, fingerprint).record;
  const bool is_published =
      known.fingerprint == fingerprint && known.losses > 0;
  if (suspect == nullptr || suspect->losses != 1 || is_published ||
      !ConsumeFirstLossBudget(state.suspicions, now))
    return;
  Publish(state, fingerprint, 1, suspect->servers, now, actions);
}

void ClearSuspect(RoutingState& state,
                  std::uint64_t fingerprint,
                  std::uint64_t request,
                  TimePoint now,
                  RoutingActions& actions) {
  const bool was_suspect = state.suspicions.suspects.erase(fingerprint) > 0;
  const SuspectRecord& known = SlotOf(state, fingerprint).record;
  if (known.fingerprint == fingerprint && known.losses > 0)
    Publish(state, fingerprint, 0, {}, now, actions);
  if (was_suspect)
    actions.emplace_back(ReportSuspicion{.request = request,
                                         .fingerprint = fingerprint,
                                         .change = SuspicionChange::kCleared});
}

void ApplySuspectRecord(RoutingState& state,
                        const SuspectRecord& record,
                        TimePoint now,
                        RoutingActions& actions) {
  if (record.slot != record.fingerprint % kSuspectSlots)
    return;
  SuspectSlot& slot = state.suspicions.slots[record.slot];
  if (record.version < slot.record.version || record == slot.record)
    return;
  slot = {.record = record, .updated_at = now};
  if (record.losses == 0) {
    if (state.suspicions.suspects.erase(record.fingerprint) > 0)
      actions.emplace_back(
          ReportSuspicion{.fingerprint = record.fingerprint,
                          .change = SuspicionChange::kCleared});
    return;
  }
  Suspect& suspect = GetOrAddSuspect(state, record.fingerprint, now);
  if (record.losses <= suspect.losses)
    return;
  suspect.servers = record.servers;
  SetLosses(state, record.fingerprint, suspect, record.losses, {}, now,
            actions);
}

std::vector<SuspectSummary> ListSuspects(const RoutingState& state,
                                         TimePoint now) {
  std::vector<SuspectSummary> summaries;
  for (const auto& [fingerprint, suspect] : state.suspicions.suspects) {
    if (IsCurrent(suspect, now))
      summaries.push_back({.fingerprint = fingerprint,
                           .losses = suspect.losses,
                           .blocked_for = std::max(suspect.blocked_until - now,
                                                   Duration::zero())});
  }
  return summaries;
}

TimePoint NextWaitingTime(const RoutingState& state, TimePoint now) {
  TimePoint next = kNever;
  for (const auto& [fingerprint, requests] : state.suspicions.waiting)
    next = std::min(next, NextTrialTime(state, fingerprint, now));
  return next;
}

}  // namespace cicadadrum::routing
