// Entry VMs that share the quotas of accounts, in virtual time.

#include "quota_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cicadadrum/node/quota_codec.h"

namespace cicadadrum::quota {

namespace {

constexpr Duration kTick = Milliseconds(1);
constexpr std::size_t kRegions = 3;
constexpr Duration kMaxWait = Milliseconds(150);

std::string EntryName(std::size_t index) {
  return "entry-" + std::to_string(index);
}

std::size_t RegionOf(std::size_t entry) {
  return entry % kRegions;
}

}  // namespace

QuotaWorld::QuotaWorld(const WorldOptions& options)
    : options_(options), random_{options.seed} {
  for (const AccountDemand& account : options.accounts) {
    limits_.push_back(account.limit);
    counts_[account.limit.name] = {};
  }
  entries_.resize(options.entries);
  for (std::size_t i = 0; i < entries_.size(); ++i)
    Start(i);
  if (options.is_settled)
    Run(Seconds(20));
  ResetCounts();
}

Duration QuotaWorld::RandomDuration(Duration bound) {
  return Duration(static_cast<std::int64_t>(
      RandomBelow(random_, static_cast<std::uint64_t>(bound.count()) + 1)));
}

TimePoint QuotaWorld::LocalTime(Entry& entry) {
  const TimePoint local = now_ - entry.suspended;
  if (entry.unreported > Duration::zero())
    RecordSuspension(entry.state, std::exchange(entry.unreported, {}), local);
  return local;
}

void QuotaWorld::Start(std::size_t index) {
  Entry& entry = entries_[index];
  const std::size_t cut = entry.cut;
  entry = {.state = MakeQuotaState(EntryName(index)), .cut = cut};
  entry.learns_at.assign(entries_.size(), kNever);
  entry.sees.assign(entries_.size(), false);
  entry.sees[index] = true;
  QuotaOutput output;
  UpdateLimits(entry.state, limits_, LocalTime(entry), output);
  ScheduleViews();
}

bool QuotaWorld::IsReachable(std::size_t from, std::size_t to) const {
  const Entry& receiver = entries_[to];
  return receiver.is_alive && entries_[from].cut == receiver.cut;
}

// Each entry VM learns of each change at a time of its own.
void QuotaWorld::ScheduleViews() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    for (std::size_t j = 0; j < entries_[i].sees.size(); ++j) {
      const bool is_present =
          IsReachable(i, j) && entries_[j].resumes_at <= now_;
      if (i == j || entries_[i].sees[j] == is_present)
        continue;
      // A silent member is missed after a second at the earliest.
      const Duration least = is_present ? Duration::zero() : Seconds(1);
      const Duration spread = options_.max_membership_delay - least;
      if (entries_[i].learns_at[j] == kNever)
        entries_[i].learns_at[j] =
            now_ + least + RandomDuration(std::max(spread, kTick));
    }
  }
}

void QuotaWorld::UpdateViews() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Entry& entry = entries_[i];
    if (!entry.is_alive || entry.resumes_at > now_)
      continue;
    bool has_changed = false;
    for (std::size_t j = 0; j < entry.sees.size(); ++j) {
      if (entry.learns_at[j] > now_)
        continue;
      entry.learns_at[j] = kNever;
      const bool is_present =
          IsReachable(i, j) && entries_[j].resumes_at <= now_;
      has_changed = has_changed || entry.sees[j] != is_present;
      entry.sees[j] = is_present;
    }
    if (!has_changed)
      continue;
    std::vector<std::string> names;
    for (std::size_t j = 0; j < entry.sees.size(); ++j) {
      if (entry.sees[j])
        names.push_back(EntryName(j));
    }
    UpdateMembers(entry.state, names, LocalTime(entry));
  }
}

void QuotaWorld::Transmit(std::size_t from,
                          std::size_t to,
                          const QuotaMessage& message) {
  if (!IsReachable(from, to) || RandomUnit(random_) < options_.lost_share)
    return;
  const Duration base =
      RegionOf(from) == RegionOf(to) ? Microseconds(500) : Milliseconds(12);
  packets_.emplace(now_ + base + RandomDuration(Milliseconds(3)),
                   Packet{to, message});
  if (RandomUnit(random_) < options_.repeated_share)
    packets_.emplace(now_ + base + RandomDuration(Milliseconds(80)),
                     Packet{to, message});
}

void QuotaWorld::Finish(std::size_t index, QuotaOutput& output) {
  Entry& entry = entries_[index];
  for (const Decision& decision : output.decisions) {
    AccountCounts& counts = counts_[decision.account];
    if (decision.is_granted) {
      counts.sent.push_back(now_);
      counts.waits.push_back(now_ - arrived_at_[decision.request]);
    } else {
      ++counts.refused;
    }
    arrived_at_.erase(decision.request);
  }
  std::map<std::uint32_t, std::vector<QuotaItem>> items;
  for (const OutgoingItem& outgoing : output.items)
    items[outgoing.receiver].push_back(outgoing.item);
  for (const auto& [receiver, receiver_items] : items) {
    const std::string name = MemberName(entry.state, receiver);
    if (name.empty())
      continue;
    const std::string datagram = EncodeQuotaMessage(
        MakeMessage(entry.state, receiver_items, now_ - entry.suspended));
    entry.bytes += datagram.size();
    ++entry.datagrams;
    Transmit(index, std::stoul(name.substr(6)),
             DecodeQuotaMessage(datagram).value());
  }
}

void QuotaWorld::Deliver(std::size_t index, const QuotaMessage& message) {
  Entry& entry = entries_[index];
  if (!entry.is_alive)
    return;
  if (entry.resumes_at > now_) {
    packets_.emplace(entry.resumes_at, Packet{index, message});
    return;
  }
  QuotaOutput output;
  ReceiveMessage(entry.state, message, LocalTime(entry), output);
  Finish(index, output);
}

void QuotaWorld::SendArrivals() {
  for (const AccountDemand& account : options_.accounts) {
    double& credit = credit_[account.limit.name];
    // Exponential times between arrivals, counted in expected arrivals.
    credit -=
        account.requests_per_second * 1e-6 * static_cast<double>(kTick.count());
    while (credit < 0) {
      credit -= std::log(1 - RandomUnit(random_));
      const std::size_t count =
          account.entries == 0 ? entries_.size() : account.entries;
      const std::size_t index = RandomBelow(random_, count);
      Entry& entry = entries_[index];
      if (!entry.is_alive || entry.resumes_at > now_)
        continue;
      ++counts_[account.limit.name].arrived;
      arrived_at_[next_request_] = now_;
      QuotaOutput output;
      const TimePoint local = LocalTime(entry);
      if (IsLimited(entry.state, account.limit.name))
        RequestToken(entry.state, account.limit.name, next_request_, kMaxWait,
                     local, output);
      ++next_request_;
      Finish(index, output);
    }
  }
}

void QuotaWorld::Run(Duration time) {
  const TimePoint end = now_ + time;
  while (now_ < end) {
    now_ += kTick;
    for (Entry& entry : entries_) {
      if (entry.resumes_at != TimePoint{} && entry.resumes_at <= now_) {
        entry.resumes_at = {};
        ScheduleViews();
      }
    }
    UpdateViews();
    while (!packets_.empty() && packets_.begin()->first <= now_) {
      const Packet packet = packets_.begin()->second;
      packets_.erase(packets_.begin());
      Deliver(packet.receiver, packet.message);
    }
    SendArrivals();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Entry& entry = entries_[i];
      if (!entry.is_alive || entry.resumes_at > now_ ||
          NextTime(entry.state) > now_ - entry.suspended)
        continue;
      QuotaOutput output;
      Advance(entry.state, LocalTime(entry), output);
      Finish(i, output);
    }
  }
}

void QuotaWorld::Kill(std::size_t entry) {
  entries_[entry].is_alive = false;
  ScheduleViews();
}

void QuotaWorld::Restart(std::size_t entry) {
  Start(entry);
}

void QuotaWorld::Suspend(std::size_t index, Duration time) {
  Entry& entry = entries_[index];
  if (!entry.is_alive || entry.resumes_at > now_)
    return;
  entry.resumes_at = now_ + time;
  entry.suspended += time;
  entry.unreported += time;
  ScheduleViews();
}

void QuotaWorld::CutRegion(std::size_t region) {
  for (std::size_t i = 0; i < entries_.size(); ++i)
    entries_[i].cut = RegionOf(i) == region ? 1 : 0;
  ScheduleViews();
}

void QuotaWorld::HealCuts() {
  for (Entry& entry : entries_)
    entry.cut = 0;
  ScheduleViews();
}

void QuotaWorld::ChangeLimits(const std::vector<AccountLimit>& limits) {
  limits_ = limits;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    QuotaOutput output;
    if (entries_[i].is_alive)
      UpdateLimits(entries_[i].state, limits, LocalTime(entries_[i]), output);
    Finish(i, output);
  }
}

void QuotaWorld::ResetCounts() {
  for (auto& [name, counts] : counts_)
    counts = {};
  for (Entry& entry : entries_) {
    entry.bytes = 0;
    entry.datagrams = 0;
  }
}

std::size_t QuotaWorld::MostInWindow(const std::string& account,
                                     TimePoint from) const {
  const std::vector<TimePoint>& sent = counts_.at(account).sent;
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    while (sent[i] - sent[first] >= QuotaBounds().window)
      ++first;
    if (sent[i] >= from)
      most = std::max(most, i - first + 1);
  }
  return most;
}

std::size_t QuotaWorld::OwnerOf(const std::string& account) const {
  for (const Entry& entry : entries_) {
    if (!entry.is_alive)
      continue;
    const std::uint32_t cell = entry.state.accounts.at(account).cells.front();
    const std::uint32_t owner = entry.state.cells.at(cell).order.front();
    return std::stoul(MemberName(entry.state, owner).substr(6));
  }
  return 0;
}

}  // namespace cicadadrum::quota
