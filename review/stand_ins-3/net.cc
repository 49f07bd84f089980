#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <strings.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 16'384;
constexpr int kBacklog = 256;
constexpr int kSegmentBytes = 1400;

std::chrono::steady_clock::time_point StartOfProgram() {
  static const auto start = std::chrono::steady_clock::now();
  return start;
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

// Waits until the socket is ready. Returns false after the time.
bool Wait(int fd, short events, double timeout_ms) {
  pollfd entry{.fd = fd, .events = events, .revents = 0};
  const int limit = static_cast<int>(std::clamp(timeout_ms, 0.0, 1'000'000.0));
  return poll(&entry, 1, limit) > 0;
}

void BoundReceived(int fd, int receive_bytes) {
  if (receive_bytes == 0)
    return;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
             sizeof(kSegmentBytes));
}

void ParseFirstLine(Message& message) {
  const std::string& line = message.first_line;
  const std::size_t first = line.find(' ');
  if (first == std::string::npos)
    return;
  const std::size_t second = line.find(' ', first + 1);
  if (line.starts_with("HTTP/")) {
    message.status = std::atoi(line.c_str() + first + 1);
    return;
  }
  message.method = line.substr(0, first);
  message.target = line.substr(first + 1, second - first - 1);
}

Message ParseHead(const std::string& head) {
  Message message;
  std::size_t at = head.find("\r\n");
  message.first_line = head.substr(0, at);
  ParseFirstLine(message);
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    message.fields.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? std::string() : line.substr(value));
  }
  return message;
}

}  // namespace

double NowMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - StartOfProgram())
      .count();
}

void SleepMs(double milliseconds) {
  if (milliseconds > 0)
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(milliseconds));
}

void SleepUntilMs(double at_ms) {
  SleepMs(at_ms - NowMs());
}

std::string FieldOf(const Fields& fields, const std::string& name) {
  for (const auto& [key, value] : fields) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0)
      return value;
  }
  return {};
}

std::string Serialize(const std::string& first_line,
                      const Fields& fields,
                      const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : fields)
    text.append(name).append(": ").append(value).append("\r\n");
  text.append("Content-Length: ").append(std::to_string(body.size()));
  return text.append("\r\n\r\n").append(body);
}

Stream::~Stream() {
  close(fd_);
}

bool Stream::Fill(double timeout_ms) {
  if (!Wait(fd_, POLLIN, timeout_ms))
    return false;
  std::array<char, kReadBytes> bytes{};
  const ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
  if (count <= 0)
    return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<Message> Stream::ReadHead(double timeout_ms) {
  const double until = NowMs() + timeout_ms;
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until - NowMs()))
      return std::nullopt;
  }
  Message message = ParseHead(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  return message;
}

std::size_t Stream::ReadSome(std::size_t size, double timeout_ms) {
  if (buffer_.empty()) {
    if (!Wait(fd_, POLLIN, timeout_ms))
      return 0;
    std::vector<char> bytes(size);
    const ssize_t count = recv(fd_, bytes.data(), size, 0);
    return count <= 0 ? 0 : static_cast<std::size_t>(count);
  }
  const std::size_t count = std::min(size, buffer_.size());
  buffer_.erase(0, count);
  return count;
}

std::optional<Message> Stream::ReadMessage(double timeout_ms) {
  const double until = NowMs() + timeout_ms;
  auto head = ReadHead(timeout_ms);
  if (!head)
    return std::nullopt;
  Message message = *std::move(head);
  const std::string length = FieldOf(message.fields, "Content-Length");
  const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
  while (buffer_.size() < size) {
    if (!Fill(until - NowMs()))
      return std::nullopt;
  }
  message.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return message;
}

bool Stream::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void Stream::Shutdown() {
  shutdown(fd_, SHUT_RDWR);
}

bool Stream::HasPeerLeft() {
  if (!Wait(fd_, POLLIN, 0))
    return false;
  char byte = 0;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

int Connect(const Address& address, double timeout_ms, int receive_bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  BoundReceived(fd, receive_bytes);
  const sockaddr_in target = ToSocketAddress(address);
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  const int result =
      connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  int error = result == 0 ? 0 : errno;
  if (error == EINPROGRESS) {
    socklen_t length = sizeof(error);
    if (!Wait(fd, POLLOUT, timeout_ms) ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
      error = ETIMEDOUT;
  }
  if (error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

Listener::Listener(Address address, Handler handler, int receive_bytes)
    : address_(std::move(address)), handler_(std::move(handler)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  BoundReceived(fd_, receive_bytes);
  const sockaddr_in bound = ToSocketAddress(address_);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) !=
          0 ||
      listen(fd_, kBacklog) != 0) {
    close(fd_);
    throw std::runtime_error("can't listen on " + address_.text());
  }
  thread_ = std::thread([this] { Accept(); });
}

Listener::~Listener() {
  Stop();
}

void Listener::Accept() {
  while (!is_stopped_) {
    if (!Wait(fd_, POLLIN, 100))
      continue;
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(mutex_);
    JoinEnded();
    Connection& connection = connections_.emplace_back(fd);
    connection.thread = std::thread([this, &connection] {
      handler_(connection.stream);
      connection.stream.Shutdown();
      connection.has_ended = true;
    });
  }
}

void Listener::JoinEnded() {
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    if (!entry->has_ended) {
      ++entry;
      continue;
    }
    entry->thread.join();
    entry = connections_.erase(entry);
  }
}

void Listener::Stop() {
  if (is_stopped_.exchange(true))
    return;
  thread_.join();
  close(fd_);
  const std::lock_guard lock(mutex_);
  for (Connection& connection : connections_)
    connection.stream.Shutdown();
  for (Connection& connection : connections_)
    connection.thread.join();
  connections_.clear();
}

Proxy::Proxy(Address address, Address target)
    : target_(std::move(target)),
      listener_(std::move(address),
                [this](Stream& caller) { Forward(caller); }) {}

void Proxy::Forward(Stream& caller) {
  const auto wait_while_cut = [&] {
    while (is_cut_ && !caller.HasPeerLeft())
      SleepMs(5);
  };
  wait_while_cut();
  const int fd = Connect(target_, 1000);
  if (fd < 0)
    return;
  Stream server(fd);
  std::array<char, kReadBytes> bytes{};
  while (true) {
    std::array<pollfd, 2> entries = {
        pollfd{.fd = caller.fd(), .events = POLLIN, .revents = 0},
        pollfd{.fd = server.fd(), .events = POLLIN, .revents = 0}};
    if (poll(entries.data(), entries.size(), 100) < 0)
      return;
    wait_while_cut();
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if (entries[i].revents == 0)
        continue;
      const ssize_t count = recv(entries[i].fd, bytes.data(), bytes.size(), 0);
      if (count <= 0)
        return;
      const std::string piece(bytes.data(), static_cast<std::size_t>(count));
      if (i == 0)
        forwarded_ += piece.size();
      if (!(i == 0 ? server : caller).Write(piece))
        return;
    }
  }
}

}  // namespace review
