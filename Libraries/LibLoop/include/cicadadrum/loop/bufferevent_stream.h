// KJ byte streams on libevent bufferevents.

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
  // A write completes once the output buffer contains at most this many bytes.
  std::size_t max_output_bytes = std::size_t{64} * 1024;
  // Reading from the socket pauses while the input buffer contains this many
  // unread bytes.
  std::size_t max_input_bytes = std::size_t{64} * 1024;
  // A connection attempt that takes longer fails. Zero means no limit.
  Duration connect_timeout{};
};

// A TCP connection. The caller may have at most one read and one write pending.
// A read or write on a failed connection fails with a KJ exception of type
// DISCONNECTED. The bytes of a completed write may still be in the output
// buffer; destroying the stream discards them.
class BuffereventStream final : public kj::AsyncIoStream {
  struct Impl;

 public:
  // Called only by Adopt() and Connect().
  explicit BuffereventStream(std::unique_ptr<Impl> impl);
  ~BuffereventStream();

  BuffereventStream(const BuffereventStream&) = delete;
  BuffereventStream& operator=(const BuffereventStream&) = delete;

  // Creates a stream on a connected non-blocking socket and takes ownership of
  // the socket. `base` must outlive the stream.
  static kj::Own<BuffereventStream> Adopt(event_base* base,
                                          evutil_socket_t socket,
                                          const StreamLimits& limits = {});

  // Connects to `address`. The promise fails with a KJ exception of type
  // DISCONNECTED if the connection cannot be established, for example because
  // the peer refuses it; no byte was sent in that case. Destroying the promise
  // cancels the connection attempt. `base` must outlive the promise and the
  // stream.
  static kj::Promise<kj::Own<BuffereventStream>> Connect(
      event_base* base,
      const sockaddr* address,
      socklen_t length,
      const StreamLimits& limits = {});

  // Returns the number of bytes delivered to readers since the stream was
  // created.
  std::uint64_t bytes_read() const;

  // Returns the number of bytes in the output buffer.
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
