// Finds parameters of a query when they are asked for. A query that is split
// ahead takes many times its size in memory.

#include "http_query.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <memory>

#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

namespace {

// Returns the query of a target, without the '?' and a fragment.
std::string_view QueryOf(std::string_view target) {
  target = target.substr(0, target.find('#'));
  const std::size_t mark = target.find('?');
  return mark == std::string_view::npos ? std::string_view()
                                        : target.substr(mark + 1);
}

}  // namespace

std::string DecodePercent(std::string_view text, UrlPart part) {
  const bool is_query = part == UrlPart::kQuery;
  if (text.find_first_of(is_query ? "%+" : "%") == std::string_view::npos)
    return std::string(text);
  std::size_t length = 0;
  const std::unique_ptr<char, decltype(&std::free)> decoded(
      evhttp_uridecode(std::string(text).c_str(), is_query ? 1 : 0, &length),
      &std::free);
  return decoded == nullptr ? std::string()
                            : std::string(decoded.get(), length);
}

std::string FindParameter(const HttpRequest& request, std::string_view name) {
  std::string_view query = QueryOf(request.target);
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view parameter = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = std::min(parameter.find('='), parameter.size());
    if (!parameter.empty() &&
        EqualsIgnoringCase(
            DecodePercent(parameter.substr(0, equals), UrlPart::kQuery), name))
      return DecodePercent(
          parameter.substr(std::min(equals + 1, parameter.size())),
          UrlPart::kQuery);
  }
  return {};
}

}  // namespace cicadadrum
