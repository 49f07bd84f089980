// Sockets and HTTP/1.1 messages of the stand-ins. All calls block; each
// connection has a thread of its own.

#ifndef CICADADRUM_REVIEW_STAND_INS_3_NET_H_
#define CICADADRUM_REVIEW_STAND_INS_3_NET_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Milliseconds of the steady clock since the program started.
double NowMs();
void SleepMs(double milliseconds);
void SleepUntilMs(double at_ms);

using Fields = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first field of that name, or an empty text.
std::string FieldOf(const Fields& fields, const std::string& name);

struct Message {
  std::string first_line;
  std::string method;  // Of a request.
  std::string target;  // Of a request.
  int status = 0;      // Of a response.
  Fields fields;
  std::string body;
};

std::string Serialize(const std::string& first_line,
                      const Fields& fields,
                      const std::string& body);

// A connected socket with what has been read beyond the last message.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Returns nothing when the connection has ended or `timeout_ms` has passed.
  std::optional<Message> ReadMessage(double timeout_ms);
  // The same without the body, which ReadSome returns piece by piece.
  std::optional<Message> ReadHead(double timeout_ms);
  // Returns how many bytes were read and dropped, 0 at the end.
  std::size_t ReadSome(std::size_t size, double timeout_ms);
  bool Write(const std::string& bytes);
  // Ends both directions; blocked calls return. Any thread may call it.
  void Shutdown();
  // Whether the peer has closed or reset the connection.
  bool HasPeerLeft();
  int fd() const { return fd_; }

 private:
  bool Fill(double timeout_ms);

  int fd_;
  std::string buffer_;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

// Returns a connected socket, or -1. `receive_bytes` bounds what the kernel
// holds of what was received, and makes segments as small as on a network; 0
// for neither.
int Connect(const Address& address, double timeout_ms, int receive_bytes = 0);

// Accepts connections in a thread and handles each in another one.
class Listener {
 public:
  using Handler = std::function<void(Stream&)>;

  // Throws std::runtime_error if the address is in use. `receive_bytes` as in
  // Connect.
  Listener(Address address, Handler handler, int receive_bytes = 0);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const Address& address() const { return address_; }
  // Closes the socket and ends all connections.
  void Stop();

 private:
  struct Connection {
    explicit Connection(int fd) : stream(fd) {}
    Stream stream;
    std::thread thread;
    std::atomic<bool> has_ended = false;
  };

  void Accept();
  void JoinEnded();

  Address address_;
  Handler handler_;
  int fd_ = -1;
  std::atomic<bool> is_stopped_ = false;
  std::thread thread_;
  std::mutex mutex_;
  std::list<Connection> connections_;
};

// Forwards connections to an address. While it is cut, it passes on nothing in
// either direction and answers no new connection, as a partition does.
class Proxy {
 public:
  Proxy(Address address, Address target);

  void SetCut(bool is_cut) { is_cut_ = is_cut; }
  const Address& address() const { return listener_.address(); }
  // Bytes of requests that were forwarded so far.
  std::uint64_t forwarded() const { return forwarded_; }
  void Stop() { listener_.Stop(); }

 private:
  void Forward(Stream& caller);

  Address target_;
  std::atomic<bool> is_cut_ = false;
  std::atomic<std::uint64_t> forwarded_ = 0;
  Listener listener_;
};

}  // namespace review

#endif  // CICADADRUM_REVIEW_STAND_INS_3_NET_H_
