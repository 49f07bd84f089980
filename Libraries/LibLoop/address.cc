// Parsing of addresses.

#include "cicadadrum/loop/address.h"

#include <arpa/inet.h>
#include <event2/util.h>

#include <array>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

boost::leaf::result<HostPort> ParseAddress(const std::string& address) {
  sockaddr_storage storage{};
  int length = sizeof(storage);
  auto* generic = reinterpret_cast<sockaddr*>(&storage);
  const bool has_port =
      address.find_last_of(':') != std::string::npos && address.back() != ']';
  if (!has_port ||
      evutil_parse_sockaddr_port(address.c_str(), generic, &length) != 0)
    return boost::leaf::new_error(
        Error{ErrorCode::kAddressInvalid, "'" + address + "' is not IP:port"});
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (generic->sa_family == AF_INET) {
    const auto* inet = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &inet->sin_addr, host.data(), host.size());
    return HostPort{host.data(), ntohs(inet->sin_port)};
  }
  const auto* inet6 = reinterpret_cast<const sockaddr_in6*>(&storage);
  inet_ntop(AF_INET6, &inet6->sin6_addr, host.data(), host.size());
  return HostPort{host.data(), ntohs(inet6->sin6_port)};
}

}  // namespace cicadadrum
