// Quotas of client accounts over all entry VMs together.
//
// The quota of an account is divided into cells, so that the messages about a
// large account do not all go to one entry VM. The members (live entry VMs) are
// ordered by rendezvous hashing for each cell. The first one, the owner, has a
// token bucket with nearly the whole rate of the cell. The second one, the
// deputy, has a small bucket, the reserve, for the time in which the owner
// can't be reached. An entry VM takes a token for each attempt at a server, and
// requests tokens from the owners and deputies. docs/design/quotas.md derives
// the bound.

#ifndef CICADADRUM_QUOTA_QUOTA_H_
#define CICADADRUM_QUOTA_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/quota/messages.h"

namespace cicadadrum::quota {

// Tokens that were granted together.
struct TokenBatch {
  std::uint32_t count = 0;
  TimePoint expires;
};

// A request that waits for a token.
struct WaitingRequest {
  std::uint64_t id = 0;
  TimePoint until;
};

// A request for tokens that is not answered yet.
struct OpenRequest {
  std::size_t cell = 0;        // Index of the account's cell.
  std::uint32_t receiver = 0;  // 0 while nobody is asked.
  std::uint16_t sequence = 0;
  std::uint16_t tokens = 0;
  std::uint16_t ahead = 0;
  // Time at which it was first sent. The validity of its tokens begins here, so
  // that neither the clock of another VM nor the delay of a message matters.
  TimePoint sent_at;
  TimePoint resend_at;
  std::size_t cells_tried = 1;  // Since the last answer that granted tokens.
};

// What a holder knows of a cell.
struct CellView {
  TimePoint empty_until{};        // The owner expects to have a token then.
  TimePoint avoid_owner_until{};  // Until then, the deputy is asked.
};

// What this entry VM uses of an account's quota.
struct Holder {
  std::deque<TokenBatch> batches;
  std::deque<WaitingRequest> waiting;  // The first to be refused first.
  // At most one for each cell. Not empty while requests wait, except after a
  // suspension until Advance is called.
  std::vector<OpenRequest> open;
  // Earlier ones, the oldest first. Their answers may still arrive.
  std::deque<OpenRequest> overdue;
  std::uint16_t sequence = 0;    // Of the last request for tokens.
  std::size_t cell = 0;          // Index of the cell that is asked next.
  std::vector<CellView> views;   // By index of the cell.
  TimePoint no_advance_until{};  // No tokens are requested in advance.
  double uses_per_second = 0;    // Mean over about a second.
  TimePoint uses_updated_at{};
  std::uint64_t tokens_used = 0;
  std::uint64_t requests_refused = 0;
};

struct Bucket {
  double level = 0;
  TimePoint updated_at{};
};

// What this entry VM grants of a cell.
struct Granter {
  bool is_active = false;  // The owner's bucket is in use.
  Bucket bucket;
  TimePoint first_since = kNever;  // First of the order since then.
  TimePoint last_first_at{};       // When it ceased to be the first.
  TimePoint inactive_until{};      // The earlier owner may still grant tokens.
  // Position in the order of the member from which the bucket is claimed.
  std::size_t claim_rank = 1;
  // Repeated in the answers to claims, so that a late one has no effect.
  std::uint16_t claim_sequence = 0;
  bool has_release = false;  // The bucket was released to this entry VM.
  double released_level = 0;
  Bucket reserve;
  TimePoint reserve_since = kNever;  // The reserve is filled from this time.
};

// Number of members of a cell's order that are kept.
constexpr std::size_t kOrderSize = 5;

// A part of an account's quota with an owner of its own.
struct Cell {
  std::string name;
  AccountLimit limit;  // The part of the account's limit.
  QuotaBounds bounds;  // With the part of the slack.
  // Tags of the first members of the order: owner, deputy, and so on.
  std::vector<std::uint32_t> order;
  Granter granter;
};

struct Account {
  AccountLimit limit;
  std::vector<std::uint32_t> cells;  // Tags.
  Holder holder;
};

struct Member {
  std::string name;
  TimePoint first_seen;
  bool is_initial = false;  // Was found within the first seconds of this VM.
};

struct QuotaState {
  std::string name;  // Of this entry VM.
  std::uint32_t tag = 0;
  QuotaBounds bounds;
  TimePoint started_at = kNever;
  std::map<std::uint32_t, Member> members;     // Live, by tag; this one too.
  std::map<std::uint32_t, TimePoint> lost_at;  // Members that are not live.
  // Largest number of members that another one has stated, and when. An entry
  // VM that restarts in a network partition does not know the other side.
  std::uint16_t stated_size = 0;
  TimePoint stated_at{};
  std::map<std::string, Account> accounts;  // With a limit, by name.
  std::map<std::uint32_t, Cell> cells;      // By tag.
  std::map<std::uint32_t, std::string> account_of_cell;
  // Names of accounts with waiting requests or an open request for tokens.
  std::set<std::string> busy_accounts;
  TimePoint next_claims = kNever;  // Time of the next check of ownership.
};

struct OutgoingItem {
  std::uint32_t receiver = 0;
  QuotaItem item;
};

// Whether a request that waited may be sent.
struct Decision {
  std::string account;
  std::uint64_t request = 0;
  bool is_granted = false;
  TimePoint expires = kNever;  // The token is valid until then.
  Duration retry_after{};      // Of a refused request.
};

// What follows from a call. Calls append to it.
struct QuotaOutput {
  std::vector<OutgoingItem> items;
  std::vector<Decision> decisions;
};

QuotaState MakeQuotaState(const std::string& name);

// Replaces the accounts with a limit.
void UpdateLimits(QuotaState& state,
                  const std::vector<AccountLimit>& limits,
                  TimePoint now,
                  QuotaOutput& output);

void UpdateBounds(QuotaState& state, const QuotaBounds& bounds);

// Replaces the live entry VMs.
void UpdateMembers(QuotaState& state,
                   const std::vector<std::string>& names,
                   TimePoint now);

// The VM was suspended until now, and its clock did not advance.
void RecordSuspension(QuotaState& state, Duration duration, TimePoint now);

// Whether requests of the account need tokens.
bool IsLimited(const QuotaState& state, const std::string& account);

// Requests a token of the account for the request, which waits for at most
// `max_wait`. The account must be limited. The decision follows in `output`,
// as the last one of this call or after a later event.
void RequestToken(QuotaState& state,
                  const std::string& account,
                  std::uint64_t request,
                  Duration max_wait,
                  TimePoint now,
                  QuotaOutput& output);

// Takes back a token that was not used.
void ReturnToken(QuotaState& state,
                 const std::string& account,
                 TimePoint expires);

void ReceiveMessage(QuotaState& state,
                    const QuotaMessage& message,
                    TimePoint now,
                    QuotaOutput& output);

// Does what is due by now.
void Advance(QuotaState& state, TimePoint now, QuotaOutput& output);

// Returns when Advance is to be called.
TimePoint NextTime(const QuotaState& state);

// Returns the message of this entry VM with the items.
QuotaMessage MakeMessage(const QuotaState& state,
                         std::vector<QuotaItem> items,
                         TimePoint now);

// Returns the name of the live member, or an empty string.
std::string MemberName(const QuotaState& state, std::uint32_t tag);

// An account's quota as this entry VM knows it, for operators.
struct QuotaSummary {
  std::string account;
  std::string owner;               // Of the first cell.
  double requests_per_second = 0;  // The account's rate.
  double uses_per_second = 0;      // Of this entry VM.
  std::uint64_t tokens_used = 0;
  std::uint64_t requests_refused = 0;
  std::size_t cells = 0;
  std::size_t cells_granted = 0;  // Cells whose tokens this entry VM grants.
};
std::vector<QuotaSummary> ListQuotas(const QuotaState& state);

}  // namespace cicadadrum::quota

#endif  // CICADADRUM_QUOTA_QUOTA_H_
