// KJ byte stream on a bufferevent.
//
// The libevent callbacks only fulfil or reject promises. KJ runs the
// continuations later, from the event of its event port and never inside such a
// callback, so a continuation may destroy the stream.

#include "cicadadrum/loop/bufferevent_stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace cicadadrum {

namespace {

// The disappearance of a peer that did not close its connections is detected
// after kKeepAliveIdleSeconds + kKeepAliveProbes * kKeepAliveIntervalSeconds =
// 25 s.
constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kKeepAliveProbes = 3;

void SetOption(evutil_socket_t socket, int level, int option, int value) {
  // The connection works without the option: a failure only increases latency
  // or delays the detection of a failed peer.
  (void)::setsockopt(socket, level, option, &value, sizeof(value));
}

void SetSocketOptions(evutil_socket_t socket) {
  // Messages are small and each is written in one call, so Nagle's algorithm
  // would only delay them.
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

kj::Exception Disconnected(const char* what) {
  return {kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
          kj::heapString(what)};
}

struct PendingRead {
  char* buffer = nullptr;
  std::size_t min_bytes = 0;
  std::size_t max_bytes = 0;
  // Less than min_bytes while the read is pending.
  std::size_t done_bytes = 0;
};

}  // namespace

struct BuffereventStream::Impl {
  explicit Impl(bufferevent* connection, const StreamLimits& stream_limits)
      : bev(connection), limits(stream_limits) {
    KJ_REQUIRE(bev != nullptr, "no bufferevent");
    auto paf = kj::newPromiseAndFulfiller<void>();
    failed_promise = paf.promise.fork();
    failed_fulfiller = kj::mv(paf.fulfiller);
    bufferevent_setcb(bev, &OnReadable, &OnWritable, &OnEvent, this);
    bufferevent_setwatermark(bev, EV_WRITE, limits.max_output_bytes, 0);
    // libevent's default limit is 16 KiB per iteration of the loop.
    bufferevent_set_max_single_read(bev, limits.max_input_bytes);
    bufferevent_set_max_single_write(bev, limits.max_output_bytes);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  ~Impl() {
    bufferevent_setcb(bev, nullptr, nullptr, nullptr, nullptr);
    bufferevent_free(bev);
  }

  static void OnReadable(bufferevent*, void* context) {
    Impl& self = *static_cast<Impl*>(context);
    self.ContinueRead();
    self.UpdateReading();
  }

  static void OnWritable(bufferevent*, void* context) {
    static_cast<Impl*>(context)->ContinueWrite();
  }

  static void OnEvent(bufferevent*, short what, void* context) {
    Impl& self = *static_cast<Impl*>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0)
      self.FinishConnect();
    else if ((what & BEV_EVENT_EOF) != 0)
      self.FinishInput();
    else if ((what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
      self.Fail("the connection failed");
  }

  void Start() {
    SetSocketOptions(bufferevent_getfd(bev));
    bufferevent_enable(bev, EV_READ | EV_WRITE);
  }

  void SetConnectTimeout() const {
    const std::int64_t limit = limits.connect_timeout.count();
    if (limit <= 0)
      return;
    const timeval timeout{limit / 1'000'000, limit % 1'000'000};
    bufferevent_set_timeouts(bev, nullptr, &timeout);
  }

  void FinishConnect() {
    bufferevent_set_timeouts(bev, nullptr, nullptr);
    Start();
    if (connect_fulfiller.get() != nullptr)
      connect_fulfiller->fulfill();
  }

  void FinishInput() {
    input_ended = true;
    ContinueRead();
  }

  void Fail(const char* what) {
    failed = true;
    if (connect_fulfiller.get() != nullptr)
      connect_fulfiller->reject(Disconnected(what));
    failed_fulfiller->fulfill();
    ContinueRead();
    ContinueWrite();
  }

  std::size_t output_size() const {
    return evbuffer_get_length(bufferevent_get_output(bev));
  }

  // Moves bytes from the input buffer to the buffer of the pending read.
  void CopyInput() {
    const std::size_t free_bytes =
        pending_read.max_bytes - pending_read.done_bytes;
    const std::size_t copied = bufferevent_read(
        bev, pending_read.buffer + pending_read.done_bytes, free_bytes);
    pending_read.done_bytes += copied;
    bytes_read += copied;
  }

  // Stops reading from the socket while the input buffer is full. libevent's
  // high watermark is not used, because libevent 2.1 calls the read callback in
  // a busy loop while a full buffer is not drained.
  void UpdateReading() {
    if (input_ended || failed)
      return;
    const std::size_t unread = evbuffer_get_length(bufferevent_get_input(bev));
    if (unread >= limits.max_input_bytes)
      bufferevent_disable(bev, EV_READ);
    else if ((bufferevent_get_enabled(bev) & EV_READ) == 0)
      bufferevent_enable(bev, EV_READ);
  }

  bool IsReadComplete() const {
    return pending_read.done_bytes >= pending_read.min_bytes || input_ended;
  }

  void ContinueRead() {
    if (read_fulfiller.get() == nullptr)
      return;
    if (!read_fulfiller->isWaiting()) {
      // The caller destroyed the read's promise, so the read's buffer may no
      // longer exist.
      read_fulfiller = nullptr;
      return;
    }
    CopyInput();
    if (IsReadComplete())
      std::exchange(read_fulfiller, nullptr)
          ->fulfill(kj::cp(pending_read.done_bytes));
    else if (failed)
      std::exchange(read_fulfiller, nullptr)
          ->reject(Disconnected("the connection failed"));
  }

  void ContinueWrite() {
    if (failed) {
      if (write_fulfiller.get() != nullptr)
        std::exchange(write_fulfiller, nullptr)
            ->reject(Disconnected("the connection failed"));
      return;
    }
    if (write_fulfiller.get() != nullptr &&
        output_size() <= limits.max_output_bytes)
      std::exchange(write_fulfiller, nullptr)->fulfill();
    if (shutdown_pending && output_size() == 0)
      ShutDownOutput();
  }

  void ShutDownOutput() {
    shutdown_pending = false;
    (void)::shutdown(bufferevent_getfd(bev), SHUT_WR);
  }

  kj::Promise<void> FinishWrite() {
    if (output_size() <= limits.max_output_bytes)
      return kj::READY_NOW;
    auto paf = kj::newPromiseAndFulfiller<void>();
    write_fulfiller = kj::mv(paf.fulfiller);
    return kj::mv(paf.promise);
  }

  bufferevent* bev;
  StreamLimits limits;
  std::uint64_t bytes_read = 0;
  bool failed = false;
  bool input_ended = false;
  bool shutdown_pending = false;
  PendingRead pending_read;
  // Invariant: read_fulfiller and write_fulfiller are null unless a read or
  // write is pending or its promise was destroyed.
  kj::Own<kj::PromiseFulfiller<std::size_t>> read_fulfiller;
  kj::Own<kj::PromiseFulfiller<void>> write_fulfiller;
  kj::Own<kj::PromiseFulfiller<void>> connect_fulfiller;
  kj::Own<kj::PromiseFulfiller<void>> failed_fulfiller;
  kj::ForkedPromise<void> failed_promise = nullptr;
};

BuffereventStream::BuffereventStream(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

BuffereventStream::~BuffereventStream() = default;

kj::Own<BuffereventStream> BuffereventStream::Adopt(
    event_base* base,
    evutil_socket_t socket,
    const StreamLimits& limits) {
  bufferevent* bev =
      bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
  auto impl = std::make_unique<Impl>(bev, limits);
  impl->Start();
  return kj::heap<BuffereventStream>(std::move(impl));
}

kj::Promise<kj::Own<BuffereventStream>> BuffereventStream::Connect(
    event_base* base,
    const sockaddr* address,
    socklen_t length,
    const StreamLimits& limits) {
  bufferevent* bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  auto impl = std::make_unique<Impl>(bev, limits);
  auto paf = kj::newPromiseAndFulfiller<void>();
  impl->connect_fulfiller = kj::mv(paf.fulfiller);
  impl->SetConnectTimeout();
  if (bufferevent_socket_connect(bev, address, static_cast<int>(length)) != 0)
    return Disconnected("the connection can't be opened");
  auto stream = kj::heap<BuffereventStream>(std::move(impl));
  return paf.promise.then(
      [stream = kj::mv(stream)]() mutable { return kj::mv(stream); });
}

std::uint64_t BuffereventStream::bytes_read() const {
  return impl_->bytes_read;
}

std::size_t BuffereventStream::output_bytes() const {
  return impl_->output_size();
}

kj::Promise<std::size_t> BuffereventStream::tryRead(void* buffer,
                                                    std::size_t min_bytes,
                                                    std::size_t max_bytes) {
  Impl& impl = *impl_;
  KJ_REQUIRE(
      impl.read_fulfiller.get() == nullptr || !impl.read_fulfiller->isWaiting(),
      "a read is pending");
  impl.pending_read = {static_cast<char*>(buffer), min_bytes, max_bytes, 0};
  impl.CopyInput();
  impl.UpdateReading();
  if (impl.IsReadComplete())
    return impl.pending_read.done_bytes;
  if (impl.failed)
    return Disconnected("the connection failed");
  auto paf = kj::newPromiseAndFulfiller<std::size_t>();
  impl.read_fulfiller = kj::mv(paf.fulfiller);
  return kj::mv(paf.promise);
}

kj::Promise<void> BuffereventStream::write(const void* buffer,
                                           std::size_t size) {
  const auto bytes = static_cast<const kj::byte*>(buffer);
  const kj::ArrayPtr<const kj::byte> piece(bytes, size);
  return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> BuffereventStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  if (impl_->failed)
    return Disconnected("the connection failed");
  KJ_REQUIRE(impl_->write_fulfiller.get() == nullptr ||
                 !impl_->write_fulfiller->isWaiting(),
             "a write is pending");
  for (const auto& piece : pieces) {
    if (bufferevent_write(impl_->bev, piece.begin(), piece.size()) != 0)
      return Disconnected("the output buffer can't grow");
  }
  return impl_->FinishWrite();
}

kj::Promise<void> BuffereventStream::whenWriteDisconnected() {
  return impl_->failed_promise.addBranch();
}

void BuffereventStream::shutdownWrite() {
  if (impl_->output_size() == 0) {
    impl_->ShutDownOutput();
    return;
  }
  impl_->shutdown_pending = true;
  bufferevent_setwatermark(impl_->bev, EV_WRITE, 0, 0);
}

void BuffereventStream::abortRead() {
  impl_->FinishInput();
  bufferevent_disable(impl_->bev, EV_READ);
}

void BuffereventStream::getsockopt(int level,
                                   int option,
                                   void* value,
                                   kj::uint* length) {
  socklen_t size = *length;
  const int result =
      ::getsockopt(bufferevent_getfd(impl_->bev), level, option, value, &size);
  KJ_REQUIRE(result == 0, "getsockopt failed");
  *length = size;
}

}  // namespace cicadadrum
