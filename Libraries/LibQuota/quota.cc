// Quotas of client accounts over all entry VMs together.

#include "cicadadrum/quota/quota.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "cicadadrum/base/hash.h"
#include "granter.h"
#include "holder.h"
#include "rates.h"

namespace cicadadrum::quota {

namespace {

constexpr Duration kClaimPeriod = Milliseconds(250);

// Members that are found within this time of the start count at once.
constexpr Duration kDiscoveryTime = Seconds(3);

// After a shorter suspension the other entry VMs still see this one as a
// member.
constexpr Duration kMaxUnnoticedSuspension = Milliseconds(500);

void Receive(QuotaState& state,
             std::uint32_t sender,
             const QuotaItem& item,
             TimePoint now,
             QuotaOutput& output) {
  const auto found = state.cells.find(item.cell);
  if (found == state.cells.end())
    return;
  Cell& cell = found->second;
  switch (item.kind) {
    case ItemKind::kRequest:
      output.items.push_back({sender, AnswerRequest(state, cell, item, now)});
      return;
    case ItemKind::kGrant: {
      const std::string& name = state.account_of_cell.at(item.cell);
      return HandleGrant(state, state.accounts.at(name), sender, item, now,
                         output);
    }
    case ItemKind::kClaim:
      if (const auto answer = AnswerClaim(state, cell, sender, item, now))
        output.items.push_back({sender, *answer});
      return;
    case ItemKind::kRelease:
    case ItemKind::kVacant:
      HandleClaimAnswer(state, cell, sender, item, now);
      return;
  }
}

// Handles the items for this entry VM itself, and those that follow from them.
void DeliverOwnItems(QuotaState& state, TimePoint now, QuotaOutput& output) {
  for (std::size_t i = 0; i < output.items.size(); ++i) {
    const OutgoingItem outgoing = output.items[i];
    if (outgoing.receiver == state.tag)
      Receive(state, state.tag, outgoing.item, now, output);
  }
  std::erase_if(output.items, [&](const OutgoingItem& outgoing) {
    return outgoing.receiver == state.tag;
  });
}

void UpdateBusy(QuotaState& state, const Account& account) {
  if (NextHolderTime(account) == kNever)
    state.busy_accounts.erase(account.limit.name);
  else
    state.busy_accounts.insert(account.limit.name);
}

// Sets the parts of the account's limit, for cells that exist or are added.
void UpdateCells(QuotaState& state, Account& account, TimePoint now) {
  const std::size_t count = CountCells(account.limit);
  const auto parts = static_cast<double>(count);
  for (std::size_t i = count; i < account.cells.size(); ++i) {
    state.cells.erase(account.cells[i]);
    state.account_of_cell.erase(account.cells[i]);
  }
  // Answers refer to the cells of before.
  if (count != account.holder.views.size()) {
    account.holder.open.clear();
    account.holder.overdue.clear();
    account.holder.views.assign(count, {});
    account.holder.cell %= count;
  }
  account.cells.clear();
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name = account.limit.name + "#" + std::to_string(i);
    const std::uint32_t tag = NameTag(name);
    account.cells.push_back(tag);
    state.account_of_cell[tag] = account.limit.name;
    const auto [entry, is_new] = state.cells.try_emplace(tag);
    Cell& cell = entry->second;
    cell.name = name;
    cell.limit = {
        .name = name,
        .requests_per_second = account.limit.requests_per_second / parts,
        .burst = account.limit.burst / parts};
    cell.bounds = state.bounds;
    cell.bounds.slack /= parts;
    if (is_new)
      UpdateOrder(state, cell, false, now);
  }
}

void RemoveAccount(QuotaState& state,
                   const Account& account,
                   QuotaOutput& output) {
  for (const WaitingRequest& request : account.holder.waiting)
    output.decisions.push_back({.account = account.limit.name,
                                .request = request.id,
                                .is_granted = true});
  for (const std::uint32_t tag : account.cells) {
    state.cells.erase(tag);
    state.account_of_cell.erase(tag);
  }
  state.busy_accounts.erase(account.limit.name);
}

// Claims the buckets of the cells whose owner this entry VM has become.
void ClaimBuckets(QuotaState& state, TimePoint now, QuotaOutput& output) {
  state.next_claims = kNever;
  for (auto& [tag, cell] : state.cells) {
    CheckOwnership(state, cell, now);
    if (cell.granter.first_since == kNever || cell.granter.is_active)
      continue;
    state.next_claims = now + kClaimPeriod;
    if (const auto receiver = ClaimReceiver(state, cell))
      output.items.push_back({*receiver,
                              {.cell = tag,
                               .kind = ItemKind::kClaim,
                               .sequence = cell.granter.claim_sequence}});
  }
}

// Whether a change of the members may change the cell's order.
bool IsOrderAffected(const Cell& cell,
                     const std::vector<std::uint32_t>& lost,
                     const std::vector<std::string>& joined,
                     const QuotaState& state) {
  if (cell.order.size() < kOrderSize)
    return true;
  const bool has_lost =
      std::any_of(lost.begin(), lost.end(), [&](std::uint32_t tag) {
        return std::find(cell.order.begin(), cell.order.end(), tag) !=
               cell.order.end();
      });
  if (has_lost)
    return true;
  const std::uint64_t lowest =
      RendezvousScore(cell.name, state.members.at(cell.order.back()).name);
  return std::any_of(joined.begin(), joined.end(),
                     [&](const std::string& name) {
                       return RendezvousScore(cell.name, name) > lowest;
                     });
}

}  // namespace

QuotaState MakeQuotaState(const std::string& name) {
  QuotaState state;
  state.name = name;
  state.tag = NameTag(name);
  state.members[state.tag] = {.name = name, .is_initial = true};
  return state;
}

void UpdateLimits(QuotaState& state,
                  const std::vector<AccountLimit>& limits,
                  TimePoint now,
                  QuotaOutput& output) {
  state.started_at = std::min(state.started_at, now);
  std::set<std::string> names;
  for (const AccountLimit& limit : limits) {
    names.insert(limit.name);
    const auto [entry, is_new] = state.accounts.try_emplace(limit.name);
    Account& account = entry->second;
    account.limit = limit;
    UpdateCells(state, account, now);
    // The callers of an account use all its cells.
    if (is_new)
      account.holder.cell =
          RendezvousScore(limit.name, state.name) % account.cells.size();
  }
  std::erase_if(state.accounts, [&](const auto& entry) {
    if (names.contains(entry.first))
      return false;
    RemoveAccount(state, entry.second, output);
    return true;
  });
  state.next_claims = state.accounts.empty() ? kNever : now;
}

void UpdateBounds(QuotaState& state, const QuotaBounds& bounds) {
  state.bounds = bounds;
  for (const auto& [name, account] : state.accounts) {
    for (const std::uint32_t tag : account.cells) {
      Cell& cell = state.cells.at(tag);
      cell.bounds = bounds;
      cell.bounds.slack /= static_cast<double>(account.cells.size());
    }
  }
}

void UpdateMembers(QuotaState& state,
                   const std::vector<std::string>& names,
                   TimePoint now) {
  state.started_at = std::min(state.started_at, now);
  std::map<std::uint32_t, Member> members = {
      {state.tag, state.members.at(state.tag)}};
  std::vector<std::string> joined;
  for (const std::string& name : names) {
    const std::uint32_t tag = NameTag(name);
    if (tag == state.tag)
      continue;
    const auto known = state.members.find(tag);
    if (known != state.members.end()) {
      members[tag] = known->second;
      continue;
    }
    joined.push_back(name);
    members[tag] = {.name = name,
                    .first_seen = now,
                    .is_initial = now - state.started_at < kDiscoveryTime &&
                                  !state.lost_at.contains(tag)};
    state.lost_at.erase(tag);
  }
  std::vector<std::uint32_t> lost;
  for (const auto& [tag, member] : state.members) {
    if (members.contains(tag))
      continue;
    lost.push_back(tag);
    state.lost_at[tag] = now;
  }
  std::erase_if(state.lost_at, [&](const auto& entry) {
    return now - entry.second >= kLostMemberRetention;
  });
  // The order is compared with the scores of earlier members.
  std::vector<Cell*> affected;
  for (auto& [tag, cell] : state.cells) {
    if (IsOrderAffected(cell, lost, joined, state))
      affected.push_back(&cell);
  }
  state.members = std::move(members);
  for (Cell* cell : affected)
    UpdateOrder(state, *cell, !lost.empty(), now);
  if (!state.accounts.empty())
    state.next_claims = now;
}

void RecordSuspension(QuotaState& state, Duration duration, TimePoint now) {
  for (auto& [name, account] : state.accounts)
    DropTokens(account);
  if (duration < kMaxUnnoticedSuspension)
    return;
  for (auto& [tag, cell] : state.cells)
    ForgetOwnership(cell, now);
  if (!state.accounts.empty())
    state.next_claims = now;
}

bool IsLimited(const QuotaState& state, const std::string& account) {
  return state.accounts.contains(account);
}

void RequestToken(QuotaState& state,
                  const std::string& account,
                  std::uint64_t request,
                  Duration max_wait,
                  TimePoint now,
                  QuotaOutput& output) {
  Account& limited = state.accounts.at(account);
  HoldRequest(state, limited, {request, now + max_wait}, now, output);
  DeliverOwnItems(state, now, output);
  UpdateBusy(state, limited);
}

void ReturnToken(QuotaState& state,
                 const std::string& account,
                 TimePoint expires) {
  const auto found = state.accounts.find(account);
  if (found == state.accounts.end() || expires == kNever)
    return;
  Holder& holder = found->second.holder;
  --holder.tokens_used;
  holder.batches.push_back({.count = 1, .expires = expires});
}

void ReceiveMessage(QuotaState& state,
                    const QuotaMessage& message,
                    TimePoint now,
                    QuotaOutput& output) {
  if (!state.members.contains(message.sender) || message.sender == state.tag)
    return;
  if (message.fleet_size >= state.stated_size ||
      now - state.stated_at >= kLostMemberRetention) {
    state.stated_size = message.fleet_size;
    state.stated_at = now;
  }
  for (const QuotaItem& item : message.items)
    Receive(state, message.sender, item, now, output);
  DeliverOwnItems(state, now, output);
  for (const QuotaItem& item : message.items) {
    const auto name = state.account_of_cell.find(item.cell);
    if (item.kind == ItemKind::kGrant && name != state.account_of_cell.end())
      UpdateBusy(state, state.accounts.at(name->second));
    // The next member of the order is asked without delay.
    if (item.kind == ItemKind::kVacant)
      state.next_claims = now;
  }
}

void Advance(QuotaState& state, TimePoint now, QuotaOutput& output) {
  const std::set<std::string> busy = state.busy_accounts;
  for (const std::string& name : busy) {
    Account& account = state.accounts.at(name);
    if (NextHolderTime(account) <= now)
      AdvanceHolder(state, account, now, output);
  }
  if (state.next_claims <= now)
    ClaimBuckets(state, now, output);
  DeliverOwnItems(state, now, output);
  for (const std::string& name : busy)
    UpdateBusy(state, state.accounts.at(name));
}

TimePoint NextTime(const QuotaState& state) {
  TimePoint next = state.next_claims;
  for (const std::string& name : state.busy_accounts)
    next = std::min(next, NextHolderTime(state.accounts.at(name)));
  return next;
}

QuotaMessage MakeMessage(const QuotaState& state,
                         std::vector<QuotaItem> items,
                         TimePoint now) {
  constexpr std::size_t kMaxSize = std::numeric_limits<std::uint16_t>::max();
  return {.sender = state.tag,
          .fleet_size = static_cast<std::uint16_t>(
              std::min(CountMembers(state, now), kMaxSize)),
          .items = std::move(items)};
}

std::string MemberName(const QuotaState& state, std::uint32_t tag) {
  const auto found = state.members.find(tag);
  return found == state.members.end() ? std::string() : found->second.name;
}

std::vector<QuotaSummary> ListQuotas(const QuotaState& state) {
  std::vector<QuotaSummary> summaries;
  for (const auto& [name, account] : state.accounts) {
    QuotaSummary summary{
        .account = name,
        .requests_per_second = account.limit.requests_per_second,
        .uses_per_second = account.holder.uses_per_second,
        .tokens_used = account.holder.tokens_used,
        .requests_refused = account.holder.requests_refused,
        .cells = account.cells.size()};
    for (const std::uint32_t tag : account.cells) {
      const Cell& cell = state.cells.at(tag);
      if (summary.owner.empty() && !cell.order.empty())
        summary.owner = MemberName(state, cell.order.front());
      if (cell.granter.is_active)
        ++summary.cells_granted;
    }
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

}  // namespace cicadadrum::quota
