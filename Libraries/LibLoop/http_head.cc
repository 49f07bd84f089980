// Writes request heads and reads the Keep-Alive header of response heads.

#include "http_head.h"

#include <algorithm>
#include <charconv>

namespace cicadadrum {

namespace {

// The client stops reusing an idle connection this long before the idle timeout
// that the server announced, so that the client does not send a request while
// the server closes the connection.
constexpr Duration kKeepAliveMargin = Seconds(1);

}  // namespace

std::string SerializeHead(const std::string& address,
                          const HttpRequest& request) {
  std::string head;
  head.reserve(512);
  head.append(NameOf(request.method)).append(" ").append(request.target);
  head.append(" HTTP/1.1\r\n");
  if (FindField(request.headers, "Host").empty())
    head.append("Host: ").append(address).append("\r\n");
  for (const auto& [name, value] : request.headers)
    head.append(name).append(": ").append(value).append("\r\n");
  const bool has_body = !request.body.empty() ||
                        request.method == HttpMethod::kPost ||
                        request.method == HttpMethod::kPut;
  if (has_body) {
    head.append("Content-Length: ");
    head.append(std::to_string(request.body.size())).append("\r\n");
  }
  return head.append("\r\n");
}

Duration KeepAliveTimeout(const HttpResponse& response, Duration fallback) {
  const std::string_view value = FindField(response.headers, "Keep-Alive");
  const std::size_t at = value.find("timeout=");
  if (at == std::string_view::npos)
    return fallback;
  const std::string_view digits = value.substr(at + 8);
  std::int64_t seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc())
    return fallback;
  return std::min(fallback, Seconds(seconds) - kKeepAliveMargin);
}

}  // namespace cicadadrum
