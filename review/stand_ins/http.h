// Blocking HTTP/1.1 over loopback sockets for the stand-ins of the review.

#ifndef CICADADRUM_REVIEW_STAND_INS_HTTP_H_
#define CICADADRUM_REVIEW_STAND_INS_HTTP_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cicadadrum::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// An open socket, closed by the destructor.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { Close(); }

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  void Close();
  // Closes the connection with a reset, as a crashed process with unread bytes
  // does.
  void Reset();

 private:
  int fd_;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the header, or an empty text.
std::string FindHeader(const Headers& headers, std::string_view name);

// A request or a response.
struct Message {
  std::string start_line;
  Headers headers;
  std::string body;
  // All bytes that the head announces have arrived.
  bool complete = false;

  std::string method() const;
  std::string target() const;
  int status() const;  // 0 if the message is no response.
};

// Returns the head and body as bytes, with the length of the body. The answer
// to a HEAD request states the length and has no body.
std::string Serialize(const Message& message, bool is_head_answer = false);

// Returns a listening socket, which is not open if the address is in use.
Socket Listen(const std::string& ip, int port);
int PortOf(const Socket& socket);

// Waits for a connection. The socket is not open if none comes in time.
Socket Accept(const Socket& listener, milliseconds timeout);

// Connects within a second, as the clients of the platform do.
// `receive_buffer` is the size of the kernel's buffer, or 0 for the usual one.
Socket Connect(const std::string& ip, int port, int receive_buffer = 0);

// Sends all bytes. Returns false if the connection fails first.
bool SendAll(const Socket& socket, std::string_view bytes);

// Reads messages from one connection.
class MessageReader {
 public:
  explicit MessageReader(const Socket& socket) : socket_(socket) {}

  // Reads the next message. It is not complete if the connection ends or the
  // time is over first. A response without a length ends with its connection.
  // `bytes_per_second` limits the speed of reading; 0 is no limit.
  Message Read(Clock::time_point until,
               bool is_response,
               double bytes_per_second = 0);

  // The next message is the answer to a HEAD request, which has no body.
  void ExpectHeadAnswer() { expects_head_answer_ = true; }

  // Whether the connection has been closed by the peer.
  bool ended() const { return ended_; }

 private:
  bool Fill(Clock::time_point until, std::size_t most);
  bool ReadLine(Clock::time_point until, std::string& line);
  bool ReadBytes(Clock::time_point until,
                 std::size_t size,
                 double bytes_per_second,
                 std::string& bytes);
  bool ReadChunks(Clock::time_point until, std::string& body);

  const Socket& socket_;
  std::string buffer_;
  bool ended_ = false;
  bool expects_head_answer_ = false;
};

}  // namespace cicadadrum::review

#endif  // CICADADRUM_REVIEW_STAND_INS_HTTP_H_
