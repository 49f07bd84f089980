// What an entry VM uses of an account's quota.

#include "holder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <vector>

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

constexpr std::size_t kMaxOverdue = 8;

// Number of cells that are asked at the same time. Where one entry VM receives
// most requests of an account, it needs the tokens of all cells.
constexpr std::size_t kMaxOpen = 4;

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
  TimePoint first = kNever;
  for (const CellView& view : holder.views)
    first = std::min(first, view.empty_until);
  return std::max(first - now, Duration::zero());
}

// Refuses the `count` requests that have waited longest.
void RefuseWaiting(Account& account,
                   std::size_t count,
                   TimePoint now,
                   QuotaOutput& output) {
  Holder& holder = account.holder;
  const Duration retry_after = TimeUntilToken(holder, now);
  for (std::size_t i = 0; i < count && !holder.waiting.empty(); ++i) {
    RefuseRequest(account, holder.waiting.front().id, retry_after, output);
    holder.waiting.pop_front();
  }
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

// Returns how many waiting requests no open request asks tokens for.
// Tokens in advance count too, because they are seldom denied.
std::size_t CountUncovered(const Holder& holder) {
  std::size_t covered = 0;
  for (const OpenRequest& open : holder.open)
    covered += open.tokens + open.ahead;
  return holder.waiting.size() - std::min(covered, holder.waiting.size());
}

bool IsAsked(const Holder& holder, std::size_t cell) {
  return std::any_of(
      holder.open.begin(), holder.open.end(),
      [&](const OpenRequest& open) { return open.cell == cell; });
}

// Chooses the cell to be asked next: the current one or one after it that may
// have tokens and is not being asked. Returns whether there is one.
bool ChooseCell(Holder& holder, TimePoint now) {
  const std::size_t count = holder.views.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t cell = (holder.cell + i) % count;
    if (holder.views[cell].empty_until > now || IsAsked(holder, cell))
      continue;
    holder.cell = cell;
    return true;
  }
  return false;
}

// Requests tokens of the current cell from its owner, or from its deputy if the
// owner does not answer.
void Ask(QuotaState& state,
         Account& account,
         std::size_t tokens,
         std::size_t cells_tried,
         TimePoint now,
         QuotaOutput& output) {
  Holder& holder = account.holder;
  const std::uint32_t tag = account.cells[holder.cell];
  const Cell& cell = state.cells.at(tag);
  const bool asks_deputy = cell.order.size() > 1 &&
                           now < holder.views[holder.cell].avoid_owner_until;
  const OpenRequest open{
      .cell = holder.cell,
      .receiver = cell.order[asks_deputy ? 1 : 0],
      .sequence = ++holder.sequence,
      .tokens = static_cast<std::uint16_t>(
          std::min<std::size_t>(tokens, kMaxTokensPerRequest)),
      .ahead =
          holder.open.empty() ? TokensInAdvance(holder, now) : std::uint16_t{0},
      .sent_at = now,
      .resend_at = now + kResendTime,
      .cells_tried = cells_tried};
  holder.open.push_back(open);
  output.items.push_back({.receiver = open.receiver,
                          .item = {.cell = tag,
                                   .kind = ItemKind::kRequest,
                                   .sequence = open.sequence,
                                   .tokens = open.tokens,
                                   .ahead = open.ahead}});
}

// Asks for the requests that are not covered. Refuses those for which no cell
// is left.
void CoverWaiting(QuotaState& state,
                  Account& account,
                  TimePoint now,
                  QuotaOutput& output) {
  Holder& holder = account.holder;
  const std::size_t uncovered = CountUncovered(holder);
  if (uncovered > 0 && holder.open.size() < kMaxOpen && ChooseCell(holder, now))
    Ask(state, account, uncovered, 1, now, output);
  if (holder.open.empty())
    RefuseWaiting(account, holder.waiting.size(), now, output);
}

// A later answer to the request is still of use.
void RecordOverdue(Holder& holder, const OpenRequest& request) {
  holder.overdue.push_back(request);
  if (holder.overdue.size() > kMaxOverdue)
    holder.overdue.pop_front();
}

// Asks the deputy or another cell in place of the receiver of `earlier`, which
// has not answered or is not the owner. `earlier` is not open any more.
void AskAnother(QuotaState& state,
                Account& account,
                const OpenRequest& earlier,
                TimePoint now,
                QuotaOutput& output) {
  Holder& holder = account.holder;
  const std::size_t tokens =
      std::min<std::size_t>(earlier.tokens, holder.waiting.size());
  if (tokens == 0)
    return;
  const Cell& cell = state.cells.at(account.cells[earlier.cell]);
  CellView& view = holder.views[earlier.cell];
  const bool asked_owner = earlier.receiver == cell.order.front();
  view.avoid_owner_until = asked_owner ? now + kAvoidOwnerTime : TimePoint{};
  if ((asked_owner && cell.order.size() > 1) || earlier.receiver == 0) {
    holder.cell = earlier.cell;
    return Ask(state, account, tokens, earlier.cells_tried, now, output);
  }
  holder.cell = (earlier.cell + 1) % holder.views.size();
  if (earlier.cells_tried < kMaxCellsTried && ChooseCell(holder, now) &&
      holder.cell != earlier.cell)
    return Ask(state, account, tokens, earlier.cells_tried + 1, now, output);
  // Nobody grants tokens yet. The owner is asked again a little later.
  holder.open.push_back({.cell = earlier.cell,
                         .tokens = static_cast<std::uint16_t>(tokens),
                         .resend_at = now + kResendTime});
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
  if (grant.answer == Answer::kGranted && request->cell < holder.views.size())
    holder.views[request->cell].avoid_owner_until = {};
  holder.overdue.erase(request);
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
    if (holder.batches.empty() && holder.open.empty() &&
        TokensInAdvance(holder, now) > 0 && ChooseCell(holder, now))
      Ask(state, account, 0, 1, now, output);
    return;
  }
  holder.waiting.push_back(request);
  // Requests of routes with different objectives are refused in their order.
  if (holder.waiting.size() > 1)
    holder.waiting.back().until = std::max(
        request.until, holder.waiting[holder.waiting.size() - 2].until);
  CoverWaiting(state, account, now, output);
}

void HandleGrant(QuotaState& state,
                 Account& account,
                 std::uint32_t sender,
                 const QuotaItem& grant,
                 TimePoint now,
                 QuotaOutput& output) {
  Holder& holder = account.holder;
  const auto found = std::find_if(
      holder.open.begin(), holder.open.end(), [&](const OpenRequest& open) {
        return open.sequence == grant.sequence && open.receiver == sender;
      });
  if (found == holder.open.end())
    return HandleLateGrant(account, sender, grant, now, output);
  const OpenRequest open = *found;
  holder.open.erase(found);
  if (grant.answer == Answer::kNotOwner) {
    AskAnother(state, account, open, now, output);
    return CoverWaiting(state, account, now, output);
  }
  AddTokens(holder, open, grant, now);
  DropExpired(holder, now);
  if (open.ahead > 0 && grant.tokens <= open.tokens)
    holder.no_advance_until = now + kNoAdvanceTime;
  GrantWaiting(account, output);
  if (grant.tokens < open.tokens) {
    const Duration empty_time = Milliseconds(grant.retry_after_ms);
    holder.views[open.cell].empty_until =
        now + std::min(empty_time, kMaxEmptyTime);
    const std::size_t missing = std::min<std::size_t>(
        open.tokens - grant.tokens, holder.waiting.size());
    if (open.cells_tried < kMaxCellsTried && missing > 0 &&
        ChooseCell(holder, now))
      Ask(state, account, missing, open.cells_tried + 1, now, output);
    else
      RefuseWaiting(account, missing, now, output);
  }
  CoverWaiting(state, account, now, output);
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
  std::vector<OpenRequest> due;
  std::copy_if(holder.open.begin(), holder.open.end(), std::back_inserter(due),
               [&](const OpenRequest& open) { return open.resend_at <= now; });
  std::erase_if(holder.open,
                [&](const OpenRequest& open) { return open.resend_at <= now; });
  for (const OpenRequest& open : due) {
    if (open.receiver != 0)
      RecordOverdue(holder, open);
    AskAnother(state, account, open, now, output);
  }
  CoverWaiting(state, account, now, output);
}

TimePoint NextHolderTime(const Account& account) {
  const Holder& holder = account.holder;
  // After a suspension, nobody is asked.
  if (!holder.waiting.empty() && holder.open.empty())
    return TimePoint{};
  TimePoint next =
      holder.waiting.empty() ? kNever : holder.waiting.front().until;
  for (const OpenRequest& open : holder.open)
    next = std::min(next, open.resend_at);
  return next;
}

void DropTokens(Account& account) {
  Holder& holder = account.holder;
  holder.batches.clear();
  holder.open.clear();
  holder.overdue.clear();
}

}  // namespace cicadadrum::quota
