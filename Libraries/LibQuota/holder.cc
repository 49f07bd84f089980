// What an entry VM uses of an account's quota.

#include "holder.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "rates.h"

namespace cicadadrum::quota {

namespace {

// An answer takes up to 25 ms. Without one after this time, the request for
// tokens or its answer was lost, or the receiver can't be reached.
constexpr Duration kResendTime = Milliseconds(50);

// An owner that has not answered, or is not the owner yet, is not asked again
// for this time.
constexpr Duration kAvoidOwnerTime = Milliseconds(300);

// States how long the caller of a request waits that got no answer in time.
constexpr Duration kRetryWithoutAnswer = Milliseconds(500);

constexpr std::size_t kMaxOverdue = 4;

// Number of cells that are asked before a request is refused.
constexpr std::size_t kMaxCellsTried = 3;

// A cell without tokens is asked again after this time at the latest.
constexpr Duration kMaxEmptyTime = Milliseconds(500);

// Time in which no tokens are requested in advance after they were denied.
constexpr Duration kNoAdvanceTime = Milliseconds(200);

constexpr double kUseTimeConstant = 1;  // Seconds.

// Uses per second from which tokens are requested in advance. Below, they would
// often expire unused.
constexpr double kMinUsesForAdvance = 4;

constexpr std::uint16_t kMaxTokensPerRequest = 1000;

Cell& CurrentCell(QuotaState& state, Account& account) {
  return state.cells.at(
      account.cells[account.holder.cell % account.cells.size()]);
}

void CountUse(Holder& holder, TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - holder.uses_updated_at).count();
  holder.uses_per_second =
      holder.uses_per_second * std::exp(-seconds / kUseTimeConstant) +
      1 / kUseTimeConstant;
  holder.uses_updated_at = now;
}

void DropExpired(Holder& holder, TimePoint now) {
  std::erase_if(holder.batches,
                [&](const TokenBatch& batch) { return batch.expires <= now; });
}

void Grant(Account& account, std::uint64_t request, QuotaOutput& output) {
  Holder& holder = account.holder;
  TokenBatch& batch = holder.batches.front();
  output.decisions.push_back({.account = account.limit.name,
                              .request = request,
                              .is_granted = true,
                              .expires = batch.expires});
  ++holder.tokens_used;
  if (--batch.count == 0)
    holder.batches.pop_front();
}

void GrantWaiting(Account& account, QuotaOutput& output) {
  Holder& holder = account.holder;
  while (!holder.waiting.empty() && !holder.batches.empty()) {
    Grant(account, holder.waiting.front().id, output);
    holder.waiting.pop_front();
  }
}

void RefuseRequest(Account& account,
                   std::uint64_t request,
                   Duration retry_after,
                   QuotaOutput& output) {
  ++account.holder.requests_refused;
  output.decisions.push_back({.account = account.limit.name,
                              .request = request,
                              .retry_after = retry_after});
}

// Returns the time until a cell has a token.
Duration TimeUntilToken(const Holder& holder, TimePoint now) {
  const TimePoint first =
      *std::min_element(holder.empty_until.begin(), holder.empty_until.end());
  return std::max(first - now, Duration::zero());
}

void RefuseWaiting(Account& account, TimePoint now, QuotaOutput& output) {
  const Duration retry_after = TimeUntilToken(account.holder, now);
  for (const WaitingRequest& request : account.holder.waiting)
    RefuseRequest(account, request.id, retry_after, output);
  account.holder.waiting.clear();
}

// Returns the tokens to request for expected use, beyond those for requests
// that wait already.
std::uint16_t TokensInAdvance(const Holder& holder, TimePoint now) {
  if (now < holder.no_advance_until ||
      holder.uses_per_second < kMinUsesForAdvance)
    return 0;
  const double seconds = std::chrono::duration<double>(kTokenValidity).count();
  return static_cast<std::uint16_t>(
      std::min(holder.uses_per_second * seconds,
               static_cast<double>(kMaxTokensPerRequest)));
}

std::uint16_t CountWaiting(const Holder& holder) {
  return static_cast<std::uint16_t>(
      std::min<std::size_t>(holder.waiting.size(), kMaxTokensPerRequest));
}

// A later answer to the open request is still of use.
void CloseRequest(Holder& holder) {
  if (!holder.open)
    return;
  holder.overdue.push_back(*holder.open);
  if (holder.overdue.size() > kMaxOverdue)
    holder.overdue.pop_front();
  holder.open.reset();
}

// Requests tokens from the cell's owner, or from its deputy.
void Ask(Cell& cell,
         Holder& holder,
         bool asks_deputy,
         std::size_t cells_tried,
         TimePoint now,
         QuotaOutput& output) {
  if (cell.order.empty())
    return;
  const bool has_deputy = cell.order.size() > 1;
  const std::uint32_t receiver = cell.order[asks_deputy && has_deputy ? 1 : 0];
  CloseRequest(holder);
  holder.open = OpenRequest{.receiver = receiver,
                            .sequence = ++holder.sequence,
                            .tokens = CountWaiting(holder),
                            .ahead = TokensInAdvance(holder, now),
                            .sent_at = now,
                            .resend_at = now + kResendTime,
                            .cells_tried = cells_tried};
  output.items.push_back({.receiver = receiver,
                          .item = {.cell = NameTag(cell.name),
                                   .kind = ItemKind::kRequest,
                                   .sequence = holder.open->sequence,
                                   .tokens = holder.open->tokens,
                                   .ahead = holder.open->ahead}});
}

void AskFirst(QuotaState& state,
              Account& account,
              std::size_t cells_tried,
              TimePoint now,
              QuotaOutput& output) {
  Holder& holder = account.holder;
  Ask(CurrentCell(state, account), holder, now < holder.avoid_owner_until,
      cells_tried, now, output);
}

// Chooses the next cell that may have tokens, possibly the current one. Returns
// whether there is one.
bool FindCell(Account& account, TimePoint now) {
  Holder& holder = account.holder;
  const std::size_t count = account.cells.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t cell = (holder.cell + i) % count;
    if (holder.empty_until[cell] > now)
      continue;
    if (cell != holder.cell % count)
      holder.avoid_owner_until = {};
    holder.cell = cell;
    return true;
  }
  return false;
}

// Chooses another cell for requests that did not get their tokens. Returns
// whether there is one, and they have not tried too many.
bool FindOtherCell(Account& account, std::size_t cells_tried, TimePoint now) {
  Holder& holder = account.holder;
  const std::size_t earlier = holder.cell;
  holder.cell = (earlier + 1) % account.cells.size();
  holder.avoid_owner_until = {};
  return FindCell(account, now) && holder.cell != earlier &&
         cells_tried < kMaxCellsTried;
}

// The receiver of the open request has not answered, or is not the owner.
void AskAnother(QuotaState& state,
                Account& account,
                TimePoint now,
                QuotaOutput& output) {
  Holder& holder = account.holder;
  const Cell& cell = CurrentCell(state, account);
  const std::size_t cells_tried = holder.open->cells_tried;
  const bool asked_owner =
      !cell.order.empty() && holder.open->receiver == cell.order.front();
  if (asked_owner && cell.order.size() > 1) {
    holder.avoid_owner_until = now + kAvoidOwnerTime;
    return AskFirst(state, account, cells_tried, now, output);
  }
  holder.avoid_owner_until = {};
  if (FindOtherCell(account, cells_tried, now))
    return AskFirst(state, account, cells_tried + 1, now, output);
  // Nobody grants tokens yet. The owner is asked again a little later.
  CloseRequest(holder);
  holder.open = OpenRequest{.resend_at = now + kResendTime};
}

void AddTokens(Holder& holder,
               const OpenRequest& request,
               const QuotaItem& grant,
               TimePoint now) {
  const TimePoint expires = request.sent_at + kTokenValidity;
  if (grant.tokens > 0 && expires > now)
    holder.batches.push_back({.count = grant.tokens, .expires = expires});
}

// Handles the answer to an earlier request. A repeated answer, or one to a
// request that is forgotten, has no effect: its tokens are lost.
void HandleLateGrant(Account& account,
                     std::uint32_t sender,
                     const QuotaItem& grant,
                     TimePoint now,
                     QuotaOutput& output) {
  Holder& holder = account.holder;
  const auto request = std::find_if(
      holder.overdue.begin(), holder.overdue.end(),
      [&](const OpenRequest& overdue) {
        return overdue.sequence == grant.sequence && overdue.receiver == sender;
      });
  if (request == holder.overdue.end())
    return;
  AddTokens(holder, *request, grant, now);
  holder.overdue.erase(request);
  if (grant.answer == Answer::kGranted)
    holder.avoid_owner_until = {};
  DropExpired(holder, now);
  GrantWaiting(account, output);
}

}  // namespace

void HoldRequest(QuotaState& state,
                 Account& account,
                 const WaitingRequest& request,
                 TimePoint now,
                 QuotaOutput& output) {
  Holder& holder = account.holder;
  CountUse(holder, now);
  DropExpired(holder, now);
  if (!holder.batches.empty()) {
    Grant(account, request.id, output);
    if (holder.batches.empty() && !holder.open &&
        TokensInAdvance(holder, now) > 0 && FindCell(account, now))
      AskFirst(state, account, 1, now, output);
    return;
  }
  if (!holder.open && !FindCell(account, now))
    return RefuseRequest(account, request.id, TimeUntilToken(holder, now),
                         output);
  holder.waiting.push_back(request);
  // Requests of routes with different objectives are refused in their order.
  if (holder.waiting.size() > 1)
    holder.waiting.back().until = std::max(
        request.until, holder.waiting[holder.waiting.size() - 2].until);
  if (!holder.open)
    AskFirst(state, account, 1, now, output);
}

void HandleGrant(QuotaState& state,
                 Account& account,
                 std::uint32_t sender,
                 const QuotaItem& grant,
                 TimePoint now,
                 QuotaOutput& output) {
  Holder& holder = account.holder;
  if (!holder.open || holder.open->sequence != grant.sequence ||
      holder.open->receiver != sender)
    return HandleLateGrant(account, sender, grant, now, output);
  if (grant.answer == Answer::kNotOwner)
    return AskAnother(state, account, now, output);
  const OpenRequest open = *holder.open;
  AddTokens(holder, open, grant, now);
  DropExpired(holder, now);
  if (open.ahead > 0 && grant.tokens <= open.tokens)
    holder.no_advance_until = now + kNoAdvanceTime;
  const bool is_short = grant.tokens < open.tokens;
  GrantWaiting(account, output);
  holder.open.reset();
  if (is_short) {
    const Duration empty_time = Milliseconds(grant.retry_after_ms);
    holder.empty_until[holder.cell % account.cells.size()] =
        now + std::min(empty_time, kMaxEmptyTime);
    if (FindOtherCell(account, open.cells_tried, now))
      return AskFirst(state, account, open.cells_tried + 1, now, output);
    return RefuseWaiting(account, now, output);
  }
  if (!holder.waiting.empty())
    AskFirst(state, account, 1, now, output);
}

void AdvanceHolder(QuotaState& state,
                   Account& account,
                   TimePoint now,
                   QuotaOutput& output) {
  Holder& holder = account.holder;
  while (!holder.waiting.empty() && holder.waiting.front().until <= now) {
    RefuseRequest(account, holder.waiting.front().id, kRetryWithoutAnswer,
                  output);
    holder.waiting.pop_front();
  }
  if (holder.open && holder.open->resend_at > now)
    return;
  if (holder.waiting.empty())
    return CloseRequest(holder);
  if (!holder.open || holder.open->receiver == 0)
    return AskFirst(state, account, 1, now, output);
  AskAnother(state, account, now, output);
}

TimePoint NextHolderTime(const Account& account) {
  const Holder& holder = account.holder;
  if (holder.waiting.empty())
    return holder.open ? holder.open->resend_at : kNever;
  if (!holder.open)
    return TimePoint{};
  return std::min(holder.open->resend_at, holder.waiting.front().until);
}

void DropTokens(Account& account) {
  Holder& holder = account.holder;
  holder.batches.clear();
  holder.open.reset();
  holder.overdue.clear();
}

}  // namespace cicadadrum::quota
