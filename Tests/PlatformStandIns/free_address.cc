// Finds free ports by binding them.

#include "free_address.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace cicadadrum::platform {

namespace {

// The range lies below the ports that the kernel assigns to outgoing
// connections.
constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kPortCount = 18000;

bool IsPortFree(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return is_free;
}

}  // namespace

std::string FindFreeAddress() {
  static auto next = static_cast<std::uint16_t>(getpid() * 97 % kPortCount);
  do {
    next = static_cast<std::uint16_t>((next + 1) % kPortCount);
  } while (!IsPortFree(static_cast<std::uint16_t>(kFirstPort + next)));
  return "127.0.0.1:" + std::to_string(kFirstPort + next);
}

}  // namespace cicadadrum::platform
