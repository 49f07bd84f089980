// Operator commands that are sent to entry VMs: leaving marks and status.

#ifndef CICADADRUM_CONTROL_ENTRIES_H_
#define CICADADRUM_CONTROL_ENTRIES_H_

#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

// Sets or removes the leaving mark of a server through the first entry VM that
// responds, and prints whether the mark was recorded in the table. Runs `loop`
// for up to 3 seconds per entry VM. Errors: kUnavailable if no entry VM
// responds or the entry VM refuses the mark, kInvalidMessage if its response is
// malformed.
boost::leaf::result<void> ChangeLeavingMark(EventLoop& loop,
                                            const Deployment& deployment,
                                            const std::string& server,
                                            bool leaving);

// Prints the configuration version in force at each entry VM, the drain
// progress of leaving servers, and the load of each region. Runs `loop` for up
// to 3 seconds. Errors: kUnavailable if no entry VM returns its status.
boost::leaf::result<void> PrintStatus(EventLoop& loop,
                                      const Deployment& deployment);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONTROL_ENTRIES_H_
