// Percent-decoding of the parts of a request's target.

#ifndef CICADADRUM_LOOP_HTTP_QUERY_H_
#define CICADADRUM_LOOP_HTTP_QUERY_H_

#include <string>
#include <string_view>

#include "cicadadrum/base/enum_names.h"

namespace cicadadrum {

// A '+' stands for a blank in a query only.
enum class UrlPart : std::uint8_t { kPath, kQuery };

template <>
struct EnumNames<UrlPart> {
  static constexpr auto kTable = std::to_array<EnumName<UrlPart>>({
      {UrlPart::kPath, "path"},
      {UrlPart::kQuery, "query"},
  });
};

// Returns an empty string if the text can't be decoded.
std::string DecodePercent(std::string_view text, UrlPart part);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_QUERY_H_
