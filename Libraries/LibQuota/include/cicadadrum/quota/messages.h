// Bounds, limits and messages of the quotas of client accounts.

#ifndef CICADADRUM_QUOTA_MESSAGES_H_
#define CICADADRUM_QUOTA_MESSAGES_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum::quota {

// In any window, the requests of an account that all entry VMs together send
// to servers are at most the account's rate times the window and its burst,
// times (1 + excess), and slack more.
struct QuotaBounds {
  Duration window = Seconds(5);
  double excess = 0.1;
  double slack = 20;
  bool operator==(const QuotaBounds&) const = default;
};

// The limit of one client account.
struct AccountLimit {
  std::string name;
  double requests_per_second = 0;  // Above 0.
  double burst = 0;
};

enum class ItemKind : std::uint8_t {
  kRequest,  // Requests tokens.
  kGrant,    // Answers a request.
  // The sender is the first of the cell's order and requests the bucket.
  kClaim,
  // Answers a claim: the sender has ceased to grant tokens, or nobody did.
  kRelease,
  // Answers a claim: the sender grants no tokens, but started so recently that
  // it can't tell whether the next member of the order does.
  kVacant,
};

enum class Answer : std::uint8_t {
  kGranted,  // Possibly fewer tokens than requested.
  kNotOwner,
};

}  // namespace cicadadrum::quota

namespace cicadadrum {

template <>
struct EnumNames<quota::ItemKind> {
  static constexpr auto kTable = std::to_array<EnumName<quota::ItemKind>>({
      {quota::ItemKind::kRequest, "request"},
      {quota::ItemKind::kGrant, "grant"},
      {quota::ItemKind::kClaim, "claim"},
      {quota::ItemKind::kRelease, "release"},
      {quota::ItemKind::kVacant, "vacant"},
  });
};

template <>
struct EnumNames<quota::Answer> {
  static constexpr auto kTable = std::to_array<EnumName<quota::Answer>>({
      {quota::Answer::kGranted, "granted"},
      {quota::Answer::kNotOwner, "not-owner"},
  });
};

}  // namespace cicadadrum

namespace cicadadrum::quota {

// A part of a message about one cell of an account.
struct QuotaItem {
  std::uint32_t cell = 0;  // NameTag of the cell's name.
  ItemKind kind = ItemKind::kRequest;
  std::uint16_t sequence = 0;  // Of the request; repeated in its answer.
  // Request: tokens that requests wait for. Grant: tokens granted. Release:
  // hundredths of tokens in the bucket.
  std::uint16_t tokens = 0;
  std::uint16_t ahead = 0;  // Request: further tokens, in advance.
  Answer answer = Answer::kGranted;
  std::uint16_t retry_after_ms = 0;  // Grant: time until a token is available.
  bool operator==(const QuotaItem&) const = default;
};

// A message of one entry VM to another. It may be lost or repeated.
struct QuotaMessage {
  std::uint32_t sender = 0;  // NameTag of the sender's name.
  // Number of members that the sender knows, live or lost a while ago.
  std::uint16_t fleet_size = 0;
  std::vector<QuotaItem> items;
  bool operator==(const QuotaMessage&) const = default;
};

// Returns a number that stands for the name of a cell or an entry VM in
// messages.
std::uint32_t NameTag(std::string_view name);

}  // namespace cicadadrum::quota

#endif  // CICADADRUM_QUOTA_MESSAGES_H_
