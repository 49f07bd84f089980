// Versioned items that are replicated to every node.
//
//   key                     version                value
//   configuration           configuration version  hash of the body
//   leaving/<server>        sequence of the mark   a name of MarkValue
//   blocked/<fingerprint>   1                      empty
//   suspect/<slot>          evidence of the slot   a SuspectItem of peer.capnp
//   shift-plan              fencing token          the plan
//
// Only a configuration has a body in addition to its value.

#ifndef CICADADRUM_MEMBERSHIP_ITEM_H_
#define CICADADRUM_MEMBERSHIP_ITEM_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

constexpr std::string_view kConfigurationKey = "configuration";
constexpr std::string_view kLeavingPrefix = "leaving/";
constexpr std::string_view kBlockedPrefix = "blocked/";
constexpr std::string_view kShiftPlanKey = "shift-plan";

// State of a leaving mark. The names sort like the enum values: at equal
// sequence a mark takes precedence over its removal, because the mark only
// takes work away, and a recorded mark takes precedence over a mark that the
// table does not have yet.
enum class MarkValue : std::uint8_t { kCleared, kLeaving, kLeavingRecorded };

template <>
struct EnumNames<MarkValue> {
  static constexpr auto kTable = std::to_array<EnumName<MarkValue>>({
      {MarkValue::kCleared, "cleared"},
      {MarkValue::kLeaving, "leaving"},
      {MarkValue::kLeavingRecorded, "leaving-recorded"},
  });
};

// Mirrors ItemVersion of Schemas/peer.capnp.
struct ItemVersion {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  bool operator==(const ItemVersion&) const = default;
};

// An item that is in force at this node.
struct ActiveItem {
  std::uint64_t version = 0;  // Invariant: never decreases.
  std::string value;
  std::string body;  // Set for the configuration only.
};

// Returns whether one version of an item is newer than another. The version
// decides and the value breaks ties, so that all nodes keep the same item.
inline bool IsNewerItem(std::uint64_t version,
                        std::string_view value,
                        std::uint64_t than_version,
                        std::string_view than_value) {
  return std::tie(version, value) > std::tie(than_version, than_value);
}

// Returns the hash under which a configuration body is stored, as 16
// hexadecimal digits.
std::string BodyHash(std::string_view body);

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_ITEM_H_
