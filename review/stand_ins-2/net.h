// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.

#ifndef CICADADRUM_REVIEW_STAND_INS_2_NET_H_
#define CICADADRUM_REVIEW_STAND_INS_2_NET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Fields = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the field, or an empty text.
std::string FindField(const Fields& fields, std::string_view name);

// An IP address and a port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// Parses "IP:port".
Address ParseAddress(const std::string& text);

// Returns an address at which nothing listens.
Address FreeAddress(const std::string& ip);

// How the wait for bytes of a peer ended.
enum class ReadEnd : std::uint8_t { kBytes, kClosed, kReset, kTimedOut };

struct Message {
  std::string first_line;
  Fields fields;
  std::string body;
};

// What a peer sent, up to the end of a message or of the waiting.
struct Received {
  // kBytes: a complete message.
  ReadEnd end = ReadEnd::kTimedOut;
  Message message;
  std::size_t bytes = 0;  // Of the message so far.
  int Status() const;     // 0 without a complete response.
};

// A connected socket.
class Stream {
 public:
  Stream() = default;
  explicit Stream(int fd) : fd_(fd) {}
  ~Stream() { Close(); }
  Stream(Stream&& other) noexcept;
  Stream& operator=(Stream&& other) noexcept;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Returns an unconnected stream if nothing accepts within a second. A
  // `receive_buffer` of 0 leaves the buffer to the kernel.
  static Stream Connect(const Address& address, int receive_buffer = 0);

  bool IsOpen() const { return fd_ >= 0; }
  // Returns whether all bytes were taken by the kernel within ten seconds.
  bool Send(std::string_view bytes) const;
  // Reads one message with a length, or without a body.
  Received Read(Clock::time_point until);
  // Reads and drops up to `max_bytes` bytes.
  std::pair<ReadEnd, std::size_t> Drop(std::size_t max_bytes,
                                       Clock::time_point until);
  // Makes a Read of another thread return.
  void Shutdown() const;
  void Close();

 private:
  ReadEnd Fill(std::size_t max_bytes, Clock::time_point until);

  int fd_ = -1;
  std::string buffer_;  // Received and not returned yet.
};

// Accepts connections and serves each one in a thread.
class Host {
 public:
  // Returns the bytes of the response; an empty text closes the connection.
  using Handler = std::function<std::string(const Message& request)>;

  Host(const std::string& ip, Handler handler);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const Address& address() const { return address_; }
  // Ends all connections, as the restart of a process does.
  void CloseConnections();

 private:
  void Accept();
  void Serve(int fd);

  Handler handler_;
  Address address_;
  int listener_ = -1;
  std::mutex mutex_;
  std::set<int> connections_;  // Their descriptors.
  std::thread thread_;
};

// Returns the bytes of a response with this body.
std::string Response(int status, const Fields& fields, std::string_view body);

}  // namespace review

#endif  // CICADADRUM_REVIEW_STAND_INS_2_NET_H_
