// Operator commands on the configuration, which consists of the lists of
// client accounts and plans: reading and submitting a version.

#ifndef CICADADRUM_CONTROL_LISTS_H_
#define CICADADRUM_CONTROL_LISTS_H_

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/model/configuration.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

// Reads the accepted lists from the platform; version 0 means that no version
// was accepted yet. Runs `loop` for up to 5 seconds per call to the platform,
// as SubmitLists does. Errors: kUnavailable, kInvalidMessage, and those of
// ParseConfiguration.
boost::leaf::result<Configuration> ReadLists(EventLoop& loop,
                                             const Deployment& deployment);

// Submits `lists` as the version after `base` and returns the new version.
// Submitting the same lists on the same base again has no further effect, so
// that an operator can repeat an edit whose response was lost to learn whether
// it was accepted. Errors: kConflict if a version other than `base` is current,
// kUnavailable if a call to the platform failed and the edit had no effect,
// kUncertain if the edit may or may not have been accepted, kInvalidMessage if
// a response is malformed.
boost::leaf::result<std::uint64_t> SubmitLists(EventLoop& loop,
                                               const Deployment& deployment,
                                               const Configuration& lists,
                                               std::uint64_t base,
                                               const std::string& author);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONTROL_LISTS_H_
