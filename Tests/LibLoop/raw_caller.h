// A caller that writes raw bytes to a server on the same loop.

#ifndef CICADADRUM_TESTS_LIBLOOP_RAW_CALLER_H_
#define CICADADRUM_TESTS_LIBLOOP_RAW_CALLER_H_

#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "cicadadrum/loop/event_loop.h"

namespace cicadadrum {

class RawCaller {
 public:
  RawCaller(EventLoop& loop, std::uint16_t port)
      : loop_(loop), fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in target{.sin_family = AF_INET, .sin_port = htons(port)};
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    is_connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&target),
                            sizeof(target)) == 0;
  }
  ~RawCaller() { close(fd_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  bool is_connected() const { return is_connected_; }
  const std::string& received() const { return received_; }
  bool has_ended() const { return has_ended_; }

  void Send(std::string_view bytes) {
    send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  void Shutdown() { shutdown(fd_, SHUT_WR); }
  // Makes the end of this object reset the connection.
  void ResetAtEnd() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }

  // Runs the loop and reads until the condition holds or the time is over.
  bool WaitUntil(const std::function<bool()>& condition,
                 Duration timeout = Seconds(5)) {
    const TimePoint end = loop_.Now() + timeout;
    while (!condition() && loop_.Now() < end) {
      event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
      Read();
    }
    return condition();
  }

  void Read() {
    std::array<char, 65536> bytes{};
    const ssize_t count = recv(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0)
      received_.append(bytes.data(), static_cast<std::size_t>(count));
    has_ended_ = has_ended_ || count == 0;
  }

  // The status codes of the responses so far, each with a space behind it.
  std::string Statuses() const {
    constexpr std::string_view kBegin = "HTTP/1.1 ";
    std::string statuses;
    for (std::size_t at = received_.find(kBegin); at != std::string::npos;
         at = received_.find(kBegin, at + 1))
      statuses += received_.substr(at + kBegin.size(), 3) + " ";
    return statuses;
  }

 private:
  EventLoop& loop_;
  int fd_;
  bool is_connected_ = false;
  bool has_ended_ = false;
  std::string received_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_LIBLOOP_RAW_CALLER_H_
