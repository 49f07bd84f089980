// Decides which connections of a server are read, and which are closed, while
// the bytes that the server holds for them approach its budget. The functions
// know no sockets.
//
// Requests with large bodies share the budget up to `large_limit`. Above it one
// of them is read to its end, the favoured one, and the others wait. The rest
// of the budget is for small requests, which are read beside it.

#ifndef CICADADRUM_LOOP_BYTE_BUDGET_H_
#define CICADADRUM_LOOP_BYTE_BUDGET_H_

#include <cstdint>
#include <span>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum {

struct ByteBudget {
  std::uint64_t max_bytes = 0;
  // Large bodies are read side by side up to this total. A body that is larger
  // can never be held.
  std::uint64_t large_limit = 0;
  // The favoured body is read up to this total.
  std::uint64_t favoured_limit = 0;
  // Without progress for this long, the favoured body makes way.
  Duration stall_time = Seconds(1);
};

// Returns the limits within a budget of `max_bytes`.
ByteBudget MakeByteBudget(std::uint64_t max_bytes);

// Requests of up to this size, with their heads, count as small.
constexpr std::uint64_t kSmallRequestBytes = 65'536;

// What one connection holds.
struct ConnectionUse {
  std::uint64_t id = 0;
  std::uint64_t held_bytes = 0;
  // A request body is incomplete. Its size if known, otherwise what has
  // arrived.
  bool is_receiving = false;
  std::uint64_t expected_bytes = 0;
  TimePoint body_started_at;
  // Responses wait for the caller to read them.
  bool has_unread = false;
  // Requests are being handled. What they hold can't be freed.
  bool is_handled = false;
  bool is_paused = false;
  TimePoint progressed_at;
};

enum class ReadingAction : std::uint8_t { kRead, kPause, kEvict };

template <>
struct EnumNames<ReadingAction> {
  static constexpr auto kTable = std::to_array<EnumName<ReadingAction>>({
      {ReadingAction::kRead, "read"},
      {ReadingAction::kPause, "pause"},
      {ReadingAction::kEvict, "evict"},
  });
};

struct ReadingPlan {
  std::vector<ReadingAction> actions;  // One for each connection, in order.
  std::uint64_t favoured = 0;          // Id of a connection; 0 for none.
};

// Returns whether a connection may be read on before the next plan.
bool MayReadOn(const ByteBudget& budget,
               std::uint64_t total_bytes,
               const ConnectionUse& use,
               std::uint64_t favoured);

// Plans the reading of all connections. `total_bytes` is what they hold
// together with everything else that counts towards the budget, and `favoured`
// comes from the plan before.
ReadingPlan PlanReading(const ByteBudget& budget,
                        std::uint64_t total_bytes,
                        std::span<const ConnectionUse> uses,
                        std::uint64_t favoured,
                        TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_BYTE_BUDGET_H_
