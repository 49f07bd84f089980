#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>

namespace review {

namespace {

constexpr Milliseconds kConnectTime{1000};
constexpr Milliseconds kSendTime{10'000};
constexpr Milliseconds kRequestTime{120'000};
constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 65'536;

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

int NewSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

// Waits for the events. Returns whether they came in time.
bool WaitFor(int fd, short events, Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
  pollfd waited{.fd = fd, .events = events, .revents = 0};
  return poll(&waited, 1, static_cast<int>(std::max<std::int64_t>(left, 0))) >
         0;
}

int Listen(const Address& address) {
  const int fd = NewSocket();
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in target = SocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
          0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::uint16_t PortOf(int fd) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

std::string Trimmed(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  return begin == std::string_view::npos ? std::string()
                                         : std::string(text.substr(begin));
}

Message ParseHead(std::string_view head) {
  Message message;
  bool is_first = true;
  while (!head.empty()) {
    const std::size_t end = head.find("\r\n");
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(std::min(head.size(), line.size() + 2));
    if (is_first) {
      message.first_line = line;
      is_first = false;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos)
      message.fields.emplace_back(std::string(line.substr(0, colon)),
                                  Trimmed(line.substr(colon + 1)));
  }
  return message;
}

}  // namespace

std::string FindField(const Fields& fields, std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (field.size() == name.size() &&
        strncasecmp(field.data(), name.data(), name.size()) == 0)
      return value;
  }
  return {};
}

Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {.ip = text.substr(0, colon),
          .port = static_cast<std::uint16_t>(
              std::strtoul(text.c_str() + colon + 1, nullptr, 10))};
}

Address FreeAddress(const std::string& ip) {
  const int fd = Listen({.ip = ip, .port = 0});
  Address address{.ip = ip, .port = PortOf(fd)};
  close(fd);
  return address;
}

int Received::Status() const {
  if (end != ReadEnd::kBytes)
    return 0;
  const std::size_t blank = message.first_line.find(' ');
  return blank == std::string::npos
             ? 0
             : static_cast<int>(std::strtol(message.first_line.c_str() + blank,
                                            nullptr, 10));
}

Stream::Stream(Stream&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}

Stream& Stream::operator=(Stream&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
    buffer_ = std::move(other.buffer_);
  }
  return *this;
}

Stream Stream::Connect(const Address& address, int receive_buffer) {
  Stream stream(NewSocket());
  if (receive_buffer > 0)
    setsockopt(stream.fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  const timeval limit{.tv_sec = kConnectTime.count() / 1000, .tv_usec = 0};
  setsockopt(stream.fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in target = SocketAddress(address);
  if (connect(stream.fd_, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0)
    stream.Close();
  return stream;
}

bool Stream::Send(std::string_view bytes) const {
  const auto until = Clock::now() + kSendTime;
  while (!bytes.empty()) {
    const ssize_t sent =
        send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno != EAGAIN || !WaitFor(fd_, POLLOUT, until))
      return false;
  }
  return true;
}

ReadEnd Stream::Fill(std::size_t max_bytes, Clock::time_point until) {
  if (!WaitFor(fd_, POLLIN, until))
    return ReadEnd::kTimedOut;
  std::array<char, kReadBytes> bytes{};
  const ssize_t count =
      recv(fd_, bytes.data(), std::min(bytes.size(), max_bytes), 0);
  if (count == 0)
    return ReadEnd::kClosed;
  if (count < 0)
    return ReadEnd::kReset;
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return ReadEnd::kBytes;
}

Received Stream::Read(Clock::time_point until) {
  Received received;
  std::size_t needed = 0;  // Bytes of the whole message, once known.
  std::size_t head = 0;
  while (true) {
    if (needed == 0) {
      const std::size_t end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        head = end + 4;
        received.message = ParseHead(std::string_view(buffer_).substr(0, end));
        const std::string length =
            FindField(received.message.fields, "Content-Length");
        needed = head + std::strtoull(length.c_str(), nullptr, 10);
      }
    }
    if (needed > 0 && buffer_.size() >= needed) {
      received.end = ReadEnd::kBytes;
      received.bytes = needed;
      received.message.body = buffer_.substr(head, needed - head);
      buffer_.erase(0, needed);
      return received;
    }
    received.end = Fill(kReadBytes, until);
    if (received.end != ReadEnd::kBytes) {
      received.bytes = buffer_.size();
      return received;
    }
  }
}

std::pair<ReadEnd, std::size_t> Stream::Drop(std::size_t max_bytes,
                                             Clock::time_point until) {
  const ReadEnd end = Fill(max_bytes, until);
  const std::size_t count = buffer_.size();
  buffer_.clear();
  return {end, count};
}

void Stream::Shutdown() const {
  shutdown(fd_, SHUT_RDWR);
}

void Stream::Close() {
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}

Host::Host(const std::string& ip, Handler handler)
    : handler_(std::move(handler)), listener_(Listen({.ip = ip, .port = 0})) {
  address_ = {.ip = ip, .port = PortOf(listener_)};
  thread_ = std::thread([this] { Accept(); });
}

// The process ends soon after, and with it the threads of the connections.
Host::~Host() {
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
}

void Host::Accept() {
  while (true) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
      continue;
    if (fd < 0)
      return;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Host::CloseConnections() {
  const std::lock_guard lock(mutex_);
  for (const int fd : connections_)
    shutdown(fd, SHUT_RDWR);
}

void Host::Serve(int fd) {
  Stream stream(fd);
  {
    const std::lock_guard lock(mutex_);
    connections_.insert(fd);
  }
  while (true) {
    const Received received = stream.Read(Clock::now() + kRequestTime);
    if (received.end != ReadEnd::kBytes)
      break;
    const std::string response = handler_(received.message);
    if (response.empty() || !stream.Send(response))
      break;
  }
  const std::lock_guard lock(mutex_);
  connections_.erase(fd);
  stream.Close();
}

std::string Response(int status, const Fields& fields, std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields)
    text.append(name).append(": ").append(value).append("\r\n");
  text.append("Content-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n");
  return text.append(body);
}

}  // namespace review
