// Evidence about requests that may crash the servers which run them.
//
// A request that is in flight at a server when its connection is lost becomes a
// suspect, with all equal requests (those with its fingerprint). A suspect is
// tried alone: one attempt at a time at each entry VM, over a new connection,
// at a server where no other suspect is tried, if possible in another failure
// domain, and after the second loss at a random time. Each trial that ends with
// the loss of a further server adds evidence; a complete response clears the
// suspect. A suspect that was lost with kLossesToBlock servers one after the
// other is blocked for a while, and then tried again.
//
// Entry VMs exchange the evidence in a fixed number of slots.

#ifndef CICADADRUM_ROUTING_SUSPICION_H_
#define CICADADRUM_ROUTING_SUSPICION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum::routing {

// Number of servers that are lost one after the other until a suspect is
// blocked.
constexpr std::uint32_t kLossesToBlock = 3;

// Number of suspects that one entry VM remembers.
constexpr std::size_t kMaxSuspects = 512;

// Number of suspects that the entry VMs exchange.
constexpr std::size_t kSuspectSlots = 128;

// Number of lost servers that are remembered of one suspect.
constexpr std::size_t kMaxLostServers = 8;

// What an entry VM knows about a suspect.
struct Suspect {
  std::uint32_t losses = 0;  // Invariant: at least 1.
  // Tags of the server incarnations that were lost, the newest last. Invariant:
  // all different, at most kMaxLostServers.
  std::vector<std::uint64_t> servers;
  // When the last loss became known here. An attempt that was sent before is no
  // trial: the same event may have ended it.
  TimePoint updated_at{};
  // Requests are refused until this time.
  TimePoint blocked_until{};
  // The request that is tried, or 0.
  std::uint64_t trial = 0;
  // A trial that lasts longer does not hold back others any more.
  TimePoint trial_until{};
  // No trial begins before this time.
  TimePoint trial_from{};
};

// What the entry VMs know together about the suspects of a slot: the newest
// evidence about one of them.
struct SuspectRecord {
  std::uint32_t slot = 0;  // Below kSuspectSlots.
  // Entry VMs keep the record with the highest version. Equal evidence that two
  // of them gather at the same time has equal versions.
  std::uint64_t version = 0;
  std::uint64_t fingerprint = 0;
  std::uint32_t losses = 0;            // 0: the suspect is cleared.
  std::vector<std::uint64_t> servers;  // As in Suspect.
  bool operator==(const SuspectRecord&) const = default;
};

// A record, and when it became known here.
struct SuspectSlot {
  SuspectRecord record;
  TimePoint updated_at{};
};

enum class RefusalReason : std::uint8_t;

// A request that waits until it may be tried.
struct WaitingRequest {
  std::uint64_t request = 0;
  // Why the request is refused if no server may receive it.
  RefusalReason reason_without_server;
};

// The suspects that an entry VM knows.
struct Suspicions {
  // By fingerprint. Invariant: at most kMaxSuspects.
  std::unordered_map<std::uint64_t, Suspect> suspects;
  std::array<SuspectSlot, kSuspectSlots> slots;
  // By fingerprint. Invariant: no element is empty.
  std::map<std::uint64_t, std::vector<WaitingRequest>> waiting;
  // Number of first losses that were published in the second since this time.
  std::uint32_t published_losses = 0;
  TimePoint publishing_since{};
};

// How the evidence about a fingerprint has changed.
enum class SuspicionChange : std::uint8_t { kSuspected, kBlocked, kCleared };

}  // namespace cicadadrum::routing

namespace cicadadrum {

template <>
struct EnumNames<routing::SuspicionChange> {
  static constexpr auto kTable =
      std::to_array<EnumName<routing::SuspicionChange>>({
          {routing::SuspicionChange::kSuspected, "suspected"},
          {routing::SuspicionChange::kBlocked, "blocked"},
          {routing::SuspicionChange::kCleared, "cleared"},
      });
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ROUTING_SUSPICION_H_
