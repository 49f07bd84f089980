// Parses network addresses.

#include "cicadadrum/loop/address.h"

#include <arpa/inet.h>
#include <event2/util.h>

#include <array>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

boost::leaf::result<HostPort> ParseAddress(const std::string& address) {
  // evutil rejects port 0, which callers use to let the kernel choose a free
  // port. Port 1 takes its place while the address is parsed.
  const bool any_port = address.ends_with(":0");
  const std::string parsable =
      any_port ? address.substr(0, address.size() - 1) + "1" : address;
  sockaddr_storage storage{};
  int length = sizeof(storage);
  auto* generic = reinterpret_cast<sockaddr*>(&storage);
  const bool has_port =
      address.find_last_of(':') != std::string::npos && address.back() != ']';
  const int parsed =
      has_port ? evutil_parse_sockaddr_port(parsable.c_str(), generic, &length)
               : -1;
  if (parsed != 0) {
    return boost::leaf::new_error(
        Error{ErrorCode::kAddressInvalid, "'" + address + "' is not IP:port"});
  }
  std::array<char, INET6_ADDRSTRLEN> host{};
  std::uint16_t port = 0;
  if (generic->sa_family == AF_INET) {
    const auto* inet = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &inet->sin_addr, host.data(), host.size());
    port = ntohs(inet->sin_port);
  } else {
    const auto* inet6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &inet6->sin6_addr, host.data(), host.size());
    port = ntohs(inet6->sin6_port);
  }
  return HostPort{host.data(), any_port ? std::uint16_t{0} : port};
}

}  // namespace cicadadrum
