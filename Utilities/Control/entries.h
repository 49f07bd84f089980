// The operator's work with entry VMs: leaving marks and status.

#ifndef CICADADRUM_CONTROL_ENTRIES_H_
#define CICADADRUM_CONTROL_ENTRIES_H_

#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

// Sets or removes the leaving mark of a server through the first entry VM that
// accepts it, and prints what was recorded. Errors: kUnavailable.
boost::leaf::result<void> ChangeLeavingMark(EventLoop& loop,
                                            const Deployment& deployment,
                                            const std::string& server,
                                            bool leaving);

// Prints the version in force at each entry VM, the drain progress of leaving
// servers, and the load of each region. Errors: kUnavailable if no entry VM
// answers.
boost::leaf::result<void> PrintStatus(EventLoop& loop,
                                      const Deployment& deployment);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONTROL_ENTRIES_H_
