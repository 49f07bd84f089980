// HTTP requests and responses as plain structs.

#ifndef CICADADRUM_LOOP_HTTP_MESSAGE_H_
#define CICADADRUM_LOOP_HTTP_MESSAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
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

// Compares names of fields and other case-insensitive tokens.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Returns the text without the blanks and tabs at both of its ends.
std::string_view WithoutBlanks(std::string_view text);

// Returns the value of the first field whose name equals `name`, ignoring case,
// or an empty view if there is none. The view refers to `fields`.
std::string_view FindField(const HttpFields& fields, std::string_view name);

// An immutable body that all its copies share.
class HttpBody {
 public:
  HttpBody() = default;
  // Implicit, so that a request can be written as a list of its members.
  HttpBody(std::string bytes);
  HttpBody(const char* bytes) : HttpBody(std::string(bytes)) {}
  // `owner` keeps `bytes` alive.
  HttpBody(std::shared_ptr<const void> owner, std::string_view bytes)
      : owner_(std::move(owner)), bytes_(bytes) {}

  std::string_view view() const { return bytes_; }
  std::size_t size() const { return bytes_.size(); }
  bool empty() const { return bytes_.empty(); }
  std::string ToString() const { return std::string(bytes_); }

  friend bool operator==(const HttpBody& body, std::string_view bytes) {
    return body.bytes_ == bytes;
  }

 private:
  std::shared_ptr<const void> owner_;
  std::string_view bytes_;
};

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  // Path and query as on the wire. The client sends `target` and ignores
  // `path`.
  std::string target;
  std::string path;  // Percent-decoded, without the query.
  HttpFields headers;
  HttpBody body;
  // The client opens a new connection for this request instead of reusing an
  // idle connection.
  bool fresh_connection = false;
  // Replaces the client's time limit for a new connection if set.
  std::optional<Duration> connect_timeout;
};

// Returns the value of the first parameter `name` of the target's query,
// percent-decoded, or an empty string if there is none. A parameter without '='
// has an empty value.
std::string FindParameter(const HttpRequest& request, std::string_view name);

// Returns the memory that the request takes without its body. Many short fields
// take several times their size on the wire.
std::uint64_t MemoryOfHead(const HttpRequest& request);

struct HttpResponse {
  std::uint16_t status = 200;
  HttpFields headers;
  std::string body;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_MESSAGE_H_
