// A UDP socket for short messages whose loss the receivers tolerate.

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
  // Called for each datagram that arrives. The handler must not destroy the
  // socket; the view is valid only during the call.
  using Handler = std::function<void(std::string_view datagram)>;

  // `loop` must outlive the socket.
  DatagramSocket(EventLoop& loop, Handler handler);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds to `address` (IP:port; with port 0 the kernel chooses a free port).
  // Must be called at most once. Errors: kAddressInvalid, kBindFailed.
  boost::leaf::result<void> Bind(const std::string& address);

  // Returns the bound port, or 0 before Bind has succeeded.
  std::uint16_t port() const;

  // Sends `datagram` to `address` (IP:port) without waiting. Returns false if
  // the datagram was dropped immediately, because the address is invalid, the
  // socket is not bound or the kernel rejected the datagram, for example
  // because its send buffer is full.
  bool Send(const std::string& address, std::string_view datagram);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_DATAGRAM_SOCKET_H_
