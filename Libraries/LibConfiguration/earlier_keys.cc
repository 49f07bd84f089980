// Finds the keys of a document's outermost object by its text, so that an error
// can name the line.

#include "earlier_keys.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <string_view>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

namespace {

constexpr std::string_view kEarlierKey = "\"customers\"";
constexpr std::string_view kKey = "\"client_accounts\"";

// Returns the position behind the string that begins at `at`.
std::size_t EndOfString(std::string_view text, std::size_t at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\')
      ++at;
  }
  return std::min(at + 1, text.size());
}

// Returns the position behind the comment that begins at `at`, or `at` if none
// does.
std::size_t EndOfComment(std::string_view text, std::size_t at) {
  const std::string_view start = text.substr(at, 2);
  if (start == "//")
    return std::min(text.find('\n', at), text.size());
  if (start == "/*")
    return std::min(text.find("*/", at + 2), text.size() - 2) + 2;
  return at;
}

// Returns the position of a key of the outermost object. `quoted_key` includes
// the quotes.
std::optional<std::size_t> FindOutermostKey(std::string_view text,
                                            std::string_view quoted_key) {
  int depth = 0;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t behind_comment = EndOfComment(text, at);
    if (behind_comment > at) {
      at = behind_comment;
      continue;
    }
    const char c = text[at];
    depth += c == '{' || c == '[' ? 1 : 0;
    depth -= c == '}' || c == ']' ? 1 : 0;
    if (c != '"') {
      ++at;
      continue;
    }
    const std::size_t end = EndOfString(text, at);
    // At this depth, a string is a key or the value of another key; none of the
    // values is a string.
    if (depth == 1 && text.substr(at, end - at) == quoted_key)
      return at;
    at = end;
  }
  return std::nullopt;
}

std::ptrdiff_t LineOf(std::string_view text, std::size_t at) {
  return 1 + std::count(text.begin(),
                        text.begin() + static_cast<std::ptrdiff_t>(at), '\n');
}

}  // namespace

boost::leaf::result<std::string> ReplaceEarlierKeys(const std::string& text,
                                                    const std::string& source) {
  const auto earlier = FindOutermostKey(text, kEarlierKey);
  if (!earlier)
    return text;
  if (FindOutermostKey(text, kKey))
    return boost::leaf::new_error(
        Error{ErrorCode::kInvalidConfiguration,
              source + ": line " + std::to_string(LineOf(text, *earlier)) +
                  ": customers is the earlier name of client_accounts; only "
                  "one of them may be given"});
  static bool is_reported = false;
  if (!is_reported)
    spdlog::warn("{}: the key customers is now called client_accounts", source);
  is_reported = true;
  std::string replaced = text;
  replaced.replace(*earlier, kEarlierKey.size(), kKey);
  return replaced;
}

}  // namespace cicadadrum
