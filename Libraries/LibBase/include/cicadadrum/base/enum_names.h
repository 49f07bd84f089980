// Tables of names for enumerations.
//
// An enumeration whose values appear in logs, settings or on the wire has a
// table:
//
//   template <>
//   struct EnumNames<Colour> {
//     static constexpr auto kTable =
//     std::to_array<EnumName<Colour>>({{Colour::kRed, "red"}});
//   };

#ifndef CICADADRUM_BASE_ENUM_NAMES_H_
#define CICADADRUM_BASE_ENUM_NAMES_H_

#include <array>
#include <optional>
#include <string_view>

namespace cicadadrum {

// One row of a table: an enumeration value and its name.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

// Each enumeration specializes this type with its table as `kTable`.
template <typename Enum>
struct EnumNames;

// Returns the name of `value`, or "unknown" for a value that is not in the
// table.
template <typename Enum>
constexpr std::string_view NameOf(Enum value) {
  for (const auto& entry : EnumNames<Enum>::kTable) {
    if (entry.value == value)
      return entry.name;
  }
  return "unknown";
}

// Returns the value that is called `name`, or nothing if the table does not
// contain the name.
template <typename Enum>
constexpr std::optional<Enum> ParseName(std::string_view name) {
  for (const auto& entry : EnumNames<Enum>::kTable) {
    if (entry.name == name)
      return entry.value;
  }
  return std::nullopt;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_BASE_ENUM_NAMES_H_
