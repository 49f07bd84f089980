// Calls of peers that the server has not answered yet.

#ifndef LIBRARIES_LIBPEER_OPEN_CALLS_H_
#define LIBRARIES_LIBPEER_OPEN_CALLS_H_

#include <kj/async.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "cicadadrum/peer/messages.h"

namespace cicadadrum {

// Identifies a slot request at the owner of the pool. `entry` is the name of
// the sender, and the sender assigns `id`.
struct SlotRequestKey {
  PoolKey pool;
  std::string entry;
  std::uint64_t id = 0;
  auto operator<=>(const SlotRequestKey&) const = default;
};

// The fulfillers pass answers by pointer, because GCC 12 reports false
// -Wmaybe-uninitialized warnings for kj::Maybe of a string or a variant.
struct OpenSlotRequest {
  std::uint64_t call = 0;  // Distinguishes repeated requests with the same key.
  kj::Own<kj::PromiseFulfiller<kj::Own<SlotAnswer>>> fulfiller;
};

struct OpenExecute {
  kj::Own<kj::PromiseFulfiller<kj::Own<ForwardedAnswer>>> fulfiller;
};

struct OpenFollowRows {
  kj::Own<kj::PromiseFulfiller<kj::Own<discovery::RelayResponse>>> fulfiller;
};

// Calls without an answer, by slot request key or by call number. `next_call`
// is the next call number; numbers are not reused.
struct OpenCalls {
  std::uint64_t next_call = 1;
  std::map<SlotRequestKey, OpenSlotRequest> slot_requests;
  std::map<std::uint64_t, OpenExecute> execute_calls;
  std::map<std::uint64_t, OpenFollowRows> follow_rows_calls;
};

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_OPEN_CALLS_H_
