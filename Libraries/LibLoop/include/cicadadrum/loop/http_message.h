// HTTP messages as plain structs.

#ifndef CICADADRUM_LOOP_HTTP_MESSAGE_H_
#define CICADADRUM_LOOP_HTTP_MESSAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cicadadrum/base/enum_names.h"

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

// Returns the value of the first field called `name` (without regard to case),
// or an empty view.
std::string_view FindField(const HttpFields& fields, std::string_view name);

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  std::string
      target;  // Path and query as on the wire. The client uses only this.
  std::string path;  // Decoded, without the query.
  HttpFields query;  // Decoded.
  HttpFields headers;
  std::string body;
  // The client sends it on a connection of its own and keeps none for it.
  bool fresh_connection = false;
};

struct HttpResponse {
  std::uint16_t status = 200;
  HttpFields headers;
  std::string body;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_MESSAGE_H_
