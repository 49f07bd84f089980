// Sends the scripts of uncontrolled callers.

#include "crowd.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>

namespace cicadadrum::platform {

namespace {

constexpr std::uint64_t kMaxBytesPerRound = 262'144;

int Connect(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in target{.sin_family = AF_INET};
  target.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1))));
  target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  static_cast<void>(
      connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)));
  return fd;
}

// Returns what comes after the first `sent` bytes of the script.
std::string_view NextBytes(const CallerScript& script, std::uint64_t sent) {
  if (sent < script.begin.size())
    return std::string_view(script.begin).substr(sent);
  if (sent >= script.max_bytes || script.repeated.empty())
    return {};
  const std::string_view piece(script.repeated);
  return piece.substr((sent - script.begin.size()) % piece.size(),
                      script.max_bytes - sent);
}

}  // namespace

Crowd::Crowd(const std::string& address, std::vector<CallerScript> scripts) {
  for (CallerScript& script : scripts)
    callers_.push_back({.script = std::move(script), .fd = Connect(address)});
}

Crowd::~Crowd() {
  for (const Caller& caller : callers_) {
    if (caller.fd >= 0)
      close(caller.fd);
  }
}

bool Crowd::Send() {
  bool has_sent = false;
  for (Caller& caller : callers_) {
    std::uint64_t left = kMaxBytesPerRound;
    while (caller.fd >= 0 && left > 0) {
      const std::string_view bytes = NextBytes(caller.script, caller.sent);
      if (bytes.empty())
        break;
      const ssize_t count =
          send(caller.fd, bytes.data(),
               std::min<std::uint64_t>(bytes.size(), left), MSG_NOSIGNAL);
      if (count < 0) {
        // EAGAIN is also reported while the connection is being established.
        if (errno != EAGAIN && errno != EINTR) {
          close(caller.fd);
          caller.fd = -1;
        }
        break;
      }
      has_sent = true;
      caller.sent += static_cast<std::uint64_t>(count);
      left -= static_cast<std::uint64_t>(count);
    }
  }
  return has_sent;
}

}  // namespace cicadadrum::platform
