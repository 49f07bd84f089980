// Callers that do not keep to the limits of a deployment.

#ifndef CICADADRUM_TESTS_UNCONTROLLEDCALLERS_CROWD_H_
#define CICADADRUM_TESTS_UNCONTROLLEDCALLERS_CROWD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace cicadadrum::platform {

// What one caller sends. It never reads and stays connected afterwards.
struct CallerScript {
  std::string begin;            // Sent once.
  std::string repeated;         // Sent again and again.
  std::uint64_t max_bytes = 0;  // Of all that is sent, `begin` included.
};

// A crowd on nonblocking sockets, which the destructor closes.
class Crowd {
 public:
  // Connects one caller for each script. The vector may not be empty.
  Crowd(const std::string& address, std::vector<CallerScript> scripts);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends as much as the sockets take, but a bounded number of bytes for each
  // caller. Returns whether any byte was sent.
  bool Send();

 private:
  struct Caller {
    CallerScript script;
    int fd = -1;  // -1 after the entry VM has closed the connection.
    std::uint64_t sent = 0;
  };

  std::vector<Caller> callers_;
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_UNCONTROLLEDCALLERS_CROWD_H_
