// Free ports for programs that a test starts.

#ifndef CICADADRUM_TESTS_PLATFORMSTANDINS_FREE_ADDRESS_H_
#define CICADADRUM_TESTS_PLATFORMSTANDINS_FREE_ADDRESS_H_

#include <string>

namespace cicadadrum::platform {

// Returns a loopback address with a free port, a different one at each call
// until the range wraps around. The kernel assigns no port of the range to
// outgoing connections, so the port stays free until the program binds it.
std::string FindFreeAddress();

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_PLATFORMSTANDINS_FREE_ADDRESS_H_
