// Byte streams of KJ over libevent's bufferevents.

#ifndef CICADADRUM_LOOP_BUFFEREVENT_STREAM_H_
#define CICADADRUM_LOOP_BUFFEREVENT_STREAM_H_

#include <event2/util.h>
#include <kj/async-io.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <memory>

#include "cicadadrum/base/time.h"

struct event_base;

namespace cicadadrum {

struct StreamLimits {
  // A write is complete when at most this many bytes wait in the output buffer.
  std::size_t max_output_bytes = std::size_t{64} * 1024;
  // No more is read from the socket while this many bytes are unread.
  std::size_t max_input_bytes = std::size_t{64} * 1024;
  // A connection that is not open by then fails. Zero means no limit.
  Duration connect_timeout{};
};

// A TCP connection. At most one read and one write may be pending. A read or
// write on a failed connection fails with a KJ exception of type DISCONNECTED.
// A completed write may still wait in the output buffer; destroying the stream
// drops what waits there.
class BuffereventStream final : public kj::AsyncIoStream {
  struct Impl;

 public:
  // Used by Adopt() and Connect().
  explicit BuffereventStream(std::unique_ptr<Impl> impl);
  ~BuffereventStream();

  BuffereventStream(const BuffereventStream&) = delete;
  BuffereventStream& operator=(const BuffereventStream&) = delete;

  // Takes over a connected non-blocking socket.
  static kj::Own<BuffereventStream> Adopt(event_base* base,
                                          evutil_socket_t socket,
                                          const StreamLimits& limits = {});

  // Connects to `address`. The promise fails with a KJ exception of type
  // DISCONNECTED if the connection is refused; no byte was sent then. Dropping
  // the promise gives the attempt up.
  static kj::Promise<kj::Own<BuffereventStream>> Connect(
      event_base* base,
      const sockaddr* address,
      socklen_t length,
      const StreamLimits& limits = {});

  // Bytes handed to readers since the connection was made.
  std::uint64_t bytes_read() const;

  // Bytes in the output buffer.
  std::size_t output_bytes() const;

  kj::Promise<std::size_t> tryRead(void* buffer,
                                   std::size_t min_bytes,
                                   std::size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;
  void getsockopt(int level,
                  int option,
                  void* value,
                  kj::uint* length) override;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_BUFFEREVENT_STREAM_H_
