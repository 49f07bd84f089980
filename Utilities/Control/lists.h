// The operator's work on the two lists: show, validate, submit.

#ifndef CICADADRUM_CONTROL_LISTS_H_
#define CICADADRUM_CONTROL_LISTS_H_

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/model/configuration.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

// Reads the accepted lists from the platform; version 0 means that none was
// accepted yet. Errors: kUnavailable, kInvalidMessage.
boost::leaf::result<Configuration> ReadLists(EventLoop& loop,
                                             const Deployment& deployment);

// Submits lists as the version after `base` and returns the new version.
// Submitting the same lists on the same base again has no further effect, so it
// also tells whether an edit whose answer was lost was accepted. Errors:
// kConflict if another version than `base` is current, kUnavailable if the edit
// had no effect, kUncertain if that is not known.
boost::leaf::result<std::uint64_t> SubmitLists(EventLoop& loop,
                                               const Deployment& deployment,
                                               const Configuration& lists,
                                               std::uint64_t base,
                                               const std::string& author);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONTROL_LISTS_H_
