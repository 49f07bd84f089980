// HTTP requests and responses as plain structs.

#ifndef CICADADRUM_LOOP_HTTP_MESSAGE_H_
#define CICADADRUM_LOOP_HTTP_MESSAGE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"

namespace cicadadrum {

enum class HttpMethod : std::uint8_t { kGet, kHead, kPost, kPut, kDelete };

template <>
struct EnumNames<HttpMethod> {
  static constexpr auto kTable = std::to_array<EnumName<HttpMethod>>({
      {HttpMethod::kGet, "GET"},
      {HttpMethod::kHead, "HEAD"},
      {HttpMethod::kPost, "POST"},
      {HttpMethod::kPut, "PUT"},
      {HttpMethod::kDelete, "DELETE"},
  });
};

using HttpFields = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first field whose name equals `name`, ignoring case,
// or an empty view if there is none. The view refers to `fields`.
std::string_view FindField(const HttpFields& fields, std::string_view name);

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  // Path and query as on the wire. The client sends `target` and ignores `path`
  // and `query`.
  std::string target;
  std::string path;  // Percent-decoded, without the query.
  HttpFields query;  // Parameters of the query, percent-decoded.
  HttpFields headers;
  std::string body;
  // The client opens a new connection for this request instead of reusing an
  // idle connection.
  bool fresh_connection = false;
  // Replaces the client's time limit for a new connection if set.
  std::optional<Duration> connect_timeout;
};

struct HttpResponse {
  std::uint16_t status = 200;
  HttpFields headers;
  std::string body;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_MESSAGE_H_
