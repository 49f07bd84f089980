// The orders in which the planner attempts moves of work.

#ifndef CICADADRUM_SHIFT_MOVE_ORDER_H_
#define CICADADRUM_SHIFT_MOVE_ORDER_H_

#include <array>
#include <cstdint>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

// Which demands of an overloaded pool are moved first.
enum class DemandOrder : std::uint8_t {
  kRemoteFirst,  // Demands of other regions; this also frees link capacity.
  kLocalFirst,
};

template <>
struct EnumNames<DemandOrder> {
  static constexpr auto kTable = std::to_array<EnumName<DemandOrder>>({
      {DemandOrder::kRemoteFirst, "remote-first"},
      {DemandOrder::kLocalFirst, "local-first"},
  });
};

// Which regions the work of a demand is moved to first.
enum class RegionOrder : std::uint8_t {
  // The demand's region, which needs no link; then as kMostFreeCapacity.
  kHomeFirst,
  kMostFreeCapacity,
  // Leaves large free capacities to demands that fit nowhere else.
  kLeastFreeCapacity,
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

// The planner prefers the first of equally good orders.
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
