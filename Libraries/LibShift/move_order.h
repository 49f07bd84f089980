// The orders in which the planner tries moves.

#ifndef CICADADRUM_SHIFT_MOVE_ORDER_H_
#define CICADADRUM_SHIFT_MOVE_ORDER_H_

#include <array>
#include <cstdint>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

enum class DemandOrder : std::uint8_t {
  kRemoteFirst,  // Demands from other regions first; this also frees a link.
  kLocalFirst,
};

template <>
struct EnumNames<DemandOrder> {
  static constexpr auto kTable = std::to_array<EnumName<DemandOrder>>({
      {DemandOrder::kRemoteFirst, "remote-first"},
      {DemandOrder::kLocalFirst, "local-first"},
  });
};

enum class RegionOrder : std::uint8_t {
  kHomeFirst,  // Home needs no link. Then the region with the most room.
  kMostFreeCapacity,
  kLeastFreeCapacity,  // Keeps the large rooms for demands that fit nowhere
                       // else.
};

template <>
struct EnumNames<RegionOrder> {
  static constexpr auto kTable = std::to_array<EnumName<RegionOrder>>({
      {RegionOrder::kHomeFirst, "home-first"},
      {RegionOrder::kMostFreeCapacity, "most-room"},
      {RegionOrder::kLeastFreeCapacity, "least-room"},
  });
};

struct MoveOrder {
  DemandOrder demands;
  RegionOrder regions;
};

// The first of equally good orders wins.
constexpr auto kMoveOrders = std::to_array<MoveOrder>({
    {DemandOrder::kRemoteFirst, RegionOrder::kHomeFirst},
    {DemandOrder::kLocalFirst, RegionOrder::kHomeFirst},
    {DemandOrder::kRemoteFirst, RegionOrder::kMostFreeCapacity},
    {DemandOrder::kLocalFirst, RegionOrder::kMostFreeCapacity},
    {DemandOrder::kRemoteFirst, RegionOrder::kLeastFreeCapacity},
    {DemandOrder::kLocalFirst, RegionOrder::kLeastFreeCapacity},
});

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_MOVE_ORDER_H_
