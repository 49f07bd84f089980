// Blocking HTTP/1.1 over loopback sockets.

#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>

namespace cicadadrum::review {

namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadSize = 65'536;
constexpr milliseconds kConnectTime(1000);

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int MillisecondsUntil(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left + 1, 0, 100'000));
}

bool WaitFor(const Socket& socket, short events, Clock::time_point until) {
  pollfd waiting{.fd = socket.fd(), .events = events, .revents = 0};
  return poll(&waiting, 1, MillisecondsUntil(until)) == 1;
}

std::string Word(const std::string& line, int index) {
  std::size_t begin = 0;
  for (int i = 0; i < index; ++i) {
    begin = line.find(' ', begin);
    if (begin == std::string::npos)
      return {};
    ++begin;
  }
  return line.substr(begin, line.find(' ', begin) - begin);
}

std::size_t ParseSize(const std::string& text, int base) {
  std::size_t size = 0;
  std::from_chars(text.data(), text.data() + text.size(), size, base);
  return size;
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void Socket::Close() {
  if (fd_ >= 0)
    close(fd_);
  fd_ = -1;
}

void Socket::Reset() {
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

std::string FindHeader(const Headers& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0)
      return value;
  }
  return {};
}

std::string Message::method() const {
  return Word(start_line, 0);
}

std::string Message::target() const {
  return Word(start_line, 1);
}

int Message::status() const {
  if (!start_line.starts_with("HTTP/"))
    return 0;
  return static_cast<int>(ParseSize(Word(start_line, 1), 10));
}

std::string Serialize(const Message& message, bool is_head_answer) {
  std::string bytes = message.start_line + "\r\n";
  for (const auto& [name, value] : message.headers)
    bytes.append(name).append(": ").append(value).append("\r\n");
  bytes.append("Content-Length: ").append(std::to_string(message.body.size()));
  bytes.append("\r\n\r\n");
  return is_head_answer ? bytes : bytes.append(message.body);
}

Socket Listen(const std::string& ip, int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = MakeAddress(ip, port);
  if (bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket.fd(), kBacklog) != 0)
    socket.Close();
  return socket;
}

int PortOf(const Socket& socket) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

Socket Accept(const Socket& listener, milliseconds timeout) {
  if (!WaitFor(listener, POLLIN, Clock::now() + timeout))
    return Socket();
  Socket socket(accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
  const int on = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket;
}

Socket Connect(const std::string& ip, int port, int receive_buffer) {
  Socket socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const int on = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (receive_buffer > 0)
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  const sockaddr_in address = MakeAddress(ip, port);
  // The result is read from the socket once the connection is established.
  static_cast<void>(connect(socket.fd(),
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)));
  int error = 0;
  socklen_t length = sizeof(error);
  if (!WaitFor(socket, POLLOUT, Clock::now() + kConnectTime) ||
      getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
      error != 0) {
    socket.Close();
    return socket;
  }
  const int flags = fcntl(socket.fd(), F_GETFL);
  fcntl(socket.fd(), F_SETFL, flags & ~O_NONBLOCK);
  return socket;
}

bool SendAll(const Socket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool MessageReader::Fill(Clock::time_point until, std::size_t most) {
  if (ended_ || !WaitFor(socket_, POLLIN, until))
    return false;
  const std::size_t old_size = buffer_.size();
  buffer_.resize(old_size + most);
  const ssize_t received =
      recv(socket_.fd(), buffer_.data() + old_size, most, 0);
  buffer_.resize(old_size +
                 static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
  ended_ = received <= 0;
  return !ended_;
}

bool MessageReader::ReadLine(Clock::time_point until, std::string& line) {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill(until, kReadSize))
      return false;
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool MessageReader::ReadBytes(Clock::time_point until,
                              std::size_t size,
                              double bytes_per_second,
                              std::string& bytes) {
  const Clock::time_point began = Clock::now();
  while (bytes.size() < size) {
    if (buffer_.empty() && !Fill(until, kReadSize))
      return false;
    const std::size_t taken = std::min(size - bytes.size(), buffer_.size());
    bytes.append(buffer_, 0, taken);
    buffer_.erase(0, taken);
    if (bytes_per_second > 0) {
      const std::chrono::duration<double> due(
          static_cast<double>(bytes.size()) / bytes_per_second);
      std::this_thread::sleep_until(std::min(
          until, began + std::chrono::duration_cast<Clock::duration>(due)));
    }
  }
  return true;
}

bool MessageReader::ReadChunks(Clock::time_point until, std::string& body) {
  std::string line;
  while (ReadLine(until, line)) {
    const std::size_t size = ParseSize(line, 16);
    std::string chunk;
    if (!ReadBytes(until, size, 0, chunk) || !ReadLine(until, line))
      return false;
    if (size == 0)
      return true;
    body += chunk;
  }
  return false;
}

Message MessageReader::Read(Clock::time_point until,
                            bool is_response,
                            double bytes_per_second) {
  Message message;
  std::string line;
  if (!ReadLine(until, message.start_line))
    return message;
  while (ReadLine(until, line) && !line.empty()) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      return message;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? std::string() : line.substr(value));
  }
  const std::string length = FindHeader(message.headers, "Content-Length");
  const bool has_no_body =
      std::exchange(expects_head_answer_, false) || message.status() == 204;
  const bool is_chunked =
      !FindHeader(message.headers, "Transfer-Encoding").empty();
  if (has_no_body || (!is_chunked && length.empty() && !is_response)) {
    message.complete = true;
  } else if (is_chunked) {
    message.complete = ReadChunks(until, message.body);
  } else if (!length.empty()) {
    message.complete =
        ReadBytes(until, ParseSize(length, 10), bytes_per_second, message.body);
  } else {
    while (Fill(until, kReadSize)) {
    }
    message.body = std::exchange(buffer_, {});
    message.complete = ended_;
  }
  return message;
}

}  // namespace cicadadrum::review
