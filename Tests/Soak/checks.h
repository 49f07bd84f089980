// Checks that entry VMs decide by a configuration that may be in force, and
// follow what servers announce in their responses.

#ifndef CICADADRUM_TESTS_SOAK_CHECKS_H_
#define CICADADRUM_TESTS_SOAK_CHECKS_H_

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "records.h"

namespace cicadadrum::platform {

// Time within which an entry VM in touch uses a configuration that the store
// has acknowledged. The settings of the entry VMs have the same value.
constexpr Duration kConfigurationBound = Seconds(2);
// Time by which the entry VMs, the store and the callers, which share one
// machine, may delay each other.
constexpr Duration kMachineAllowance = Milliseconds(500);
// An entry VM is in touch if neither its process, its link to the store nor the
// store had a fault for this time.
constexpr Duration kStableWindow = Seconds(4);
// Time after which an entry VM may no longer decide by a version older than one
// by which it has decided.
constexpr Duration kDowngradeBound = Milliseconds(250);
// Requests may be on their way for this long when a server's pause begins.
constexpr Duration kPauseGrace = Milliseconds(500);
// Maximum number of requests from one entry VM in the rest of a pause.
constexpr std::size_t kMaxRequestsInPause = 2;
// An entry VM counts for a server's limit from this time after its first
// response that states the limit.
constexpr Duration kLimitGrace = Milliseconds(500);
// Requests that a limited server accepts in a window: a multiple of what its
// limit allows, and some more.
constexpr Duration kLimitWindow = Seconds(4);
constexpr double kAcceptedLimitFactor = 1.5;
constexpr double kAcceptedLimitExtra = 5;
// Servers that a request may crash, and retries of it after that.
constexpr std::size_t kAllowedCrashes = 3;
constexpr std::size_t kAllowedCrashRetries = 3;

// Requests that all entry VMs together may send to a cold server within
// kColdWindow by the configuration.
constexpr Duration kColdWindow = Seconds(1);
constexpr std::size_t kMaxColdArrivals = 10;

enum class Rule : std::uint8_t {
  // A request reached a server outside the home regions of its route.
  kHome,
  // A request was handled as only an old configuration allows.
  kConfiguration,
  // An entry VM returned to an older configuration within one process.
  kDowngrade,
  // A request reached a server that had said that it is leaving.
  kLeaving,
  // More requests than allowed reached a server that had asked for a pause.
  kPause,
  // More requests than accepted reached a server that states a limit.
  kLimit,
  // A request that crashes servers was retried too often.
  kCrash,
  // More requests than allowed reached a cold server.
  kCold,
};

// A request that was handled against a rule.
struct Violation {
  Rule rule = Rule::kHome;
  std::string request_id;
  std::string detail;
};

// Returns the requests that reached a server, or were refused with status 404,
// as none of the configurations allows that may have been in force from the
// sending of the request on.
std::vector<Violation> FindOutdatedDecisions(const SoakRecords& records);

// Returns the arrivals that FindOutdatedDecisions accepts only because the
// request was sent earlier: none of the configurations allows them that may
// have been in force at the arrival. Retries that use the route of the first
// attempt lead to such arrivals. Arrivals that the link to the server may have
// held up do not count.
std::vector<Violation> FindOutdatedRetries(const SoakRecords& records);

// Returns the decisions of entry VMs out of touch that would be outdated at an
// entry VM in touch, but for entry VMs that were cut off from the store. An
// entry VM that was paused, or has just started, makes such decisions before it
// receives the newest configuration.
std::vector<Violation> FindOutdatedDecisionsOutOfTouch(
    const SoakRecords& records);

// Returns the requests that an entry VM handled by an older configuration than
// one of which a server had seen the effect before, in one process.
std::vector<Violation> FindDowngrades(const SoakRecords& records);

// Returns the requests that reached a server from an entry VM to which the
// server had said that it is leaving, sent after the response that said so
// reached the caller. A start or signal of the entry VM excuses them.
std::vector<Violation> FindRequestsAfterLeaving(const SoakRecords& records);

// Returns the requests to which a server responded that it wants a pause,
// and after which more than kMaxRequestsInPause requests reached the server
// from the same entry VM between kPauseGrace and the end of the pause. A start
// or signal of the entry VM, and a fault of the server's link, excuse them.
std::vector<Violation> FindBrokenPauses(const SoakRecords& records);

// Returns the first requests beyond what a server that states a limit accepts
// in a window, counted from kStableWindow after its first statement. A start or
// signal of an entry VM while the limit holds, and a fault of the server's
// link, excuse the entry VM's requests.
std::vector<Violation> FindBrokenLimits(const SoakRecords& records);

// Returns the retries of the request that crashes servers, beyond the first
// kAllowedCrashRetries, that entry VMs in touch sent later than kStableWindow
// after it had crashed the third server.
std::vector<Violation> FindLateCrashRetries(const SoakRecords& records);

// Returns, for each server, the first request beyond those that it may receive
// while it is cold. It excuses no entry VM; only requests that the link to the
// server may have held up do not count.
std::vector<Violation> FindColdFloods(const SoakRecords& records);

// Returns whether the link had a fault at any time from `begin` to `end`.
bool IsLinkImpaired(const std::vector<LinkChange>& changes,
                    TimePoint begin,
                    TimePoint end);

}  // namespace cicadadrum::platform

namespace cicadadrum {

template <>
struct EnumNames<platform::Rule> {
  static constexpr auto kTable = std::to_array<EnumName<platform::Rule>>({
      {platform::Rule::kHome, "HOME"},
      {platform::Rule::kConfiguration, "CONFIG"},
      {platform::Rule::kDowngrade, "CONFIG downgrade"},
      {platform::Rule::kLeaving, "LEAVING"},
      {platform::Rule::kPause, "PAUSE"},
      {platform::Rule::kLimit, "LIMIT"},
      {platform::Rule::kCrash, "CRASH"},
      {platform::Rule::kCold, "COLD"},
  });
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_SOAK_CHECKS_H_
