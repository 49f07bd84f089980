// A UDP socket for short messages that may be lost.

#ifndef CICADADRUM_LOOP_DATAGRAM_SOCKET_H_
#define CICADADRUM_LOOP_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/leaf.hpp>

#include "cicadadrum/loop/event_loop.h"

namespace cicadadrum {

class DatagramSocket {
 public:
  // Called for each datagram that arrives. It must not destroy the socket.
  using Handler = std::function<void(std::string_view datagram)>;

  // `loop` must outlive the socket.
  DatagramSocket(EventLoop& loop, Handler handler);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds to `address` (IP:port; port 0 picks a free port). Errors:
  // kAddressInvalid, kBindFailed.
  boost::leaf::result<void> Bind(const std::string& address);

  // The bound port; 0 before Bind.
  std::uint16_t port() const;

  // Returns false if the datagram was dropped at once: the address is invalid,
  // the socket is not bound, or the system takes no more at present.
  bool Send(const std::string& address, std::string_view datagram);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_DATAGRAM_SOCKET_H_
