// Network addresses of the form IP:port.

#ifndef CICADADRUM_LOOP_ADDRESS_H_
#define CICADADRUM_LOOP_ADDRESS_H_

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

namespace cicadadrum {

struct HostPort {
  std::string host;  // An IPv4 address, or an IPv6 address without brackets.
  std::uint16_t port = 0;
};

// Parses an address such as "192.0.2.1:80" or "[2001:db8::1]:80". Port 0 is
// valid. Error: kAddressInvalid.
boost::leaf::result<HostPort> ParseAddress(const std::string& address);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_ADDRESS_H_
