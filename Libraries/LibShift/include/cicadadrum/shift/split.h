// The split of the traffic that this entry VM receives between regions, per
// service, and its movement under the shift cap.
//
// The argument for the cap. Let an entry VM send load L times x(r) to region r.
// If over a window its split moves by at most m and its load changes by at most
// the fraction d, then the sum of its gains over regions and the sum of its
// losses are each at most (1 + d) m + d of its load at the start of the window.
// The gains and losses of the fleet are at most the sums of those of the entry
// VMs, and the distance between two normalised load vectors is at most the
// larger of gains and losses divided by the load at the start. The
// load-weighted split of the fleet therefore moves by at most (1 + d) m + d.
// AdvanceSplit keeps m <= (cap - d) / (1 + d), where d is the load change
// observed in the last window but at least the reserve. Hence the fleet obeys
// the cap in every window in which no entry VM's load changes by more than the
// reserve. A larger change of load is caused by the callers; once AdvanceSplit
// observes the change, the split moves by less, and does not move at all while
// the change of load alone uses up the cap.
//
// Each call moves the split in proportion to the time since the last call, of
// which at most 1/32 window counts. A pause or a clock that jumps forward
// therefore permits no burst, and a clock that jumps back permits no movement.
// The rate is 32/34 of the cap, so that a window may also contain the step of a
// call at its border and one false clock jump. Each further false jump in a
// window can add 1/34 of the cap.

#ifndef CICADADRUM_SHIFT_SPLIT_H_
#define CICADADRUM_SHIFT_SPLIT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/shift/plan.h"

namespace cicadadrum {

// Limits on the movement of a split.
struct ShiftLimits {
  std::uint32_t cap_parts = 0;  // Shift cap per window, in parts.
  Duration window{};            // Positive.
  // Part of the cap that is reserved for changes of the entry VM's load.
  std::uint32_t load_reserve_parts = 0;
};

// Returns limits with a quarter of the cap reserved for changes of load.
// `cap_percent` is the shift cap in percent of the traffic, from 0 to 100;
// `window` has to be positive.
ShiftLimits MakeShiftLimits(std::uint32_t cap_percent, Duration window);

// Smallest and largest load observed from `at`, in elapsed time, until the next
// sample.
struct LoadSample {
  Duration at{};
  std::uint64_t lowest = 0;
  std::uint64_t highest = 0;
};

// Split of one service and what its movement depends on.
struct ServiceSplit {
  Split current;                // Sums to kPartsPerSplit.
  std::uint64_t remainder = 0;  // Unused time of the last step; below one part.
  std::deque<LoadSample> loads;  // Of the last window and two slices more.
};

// Splits of one entry VM. The caller sets the first three members before
// StartSplit and keeps `lost_regions` up to date.
struct SplitState {
  std::string self_region;
  std::vector<std::string> regions;  // All regions of the deployment.
  ShiftLimits limits;
  std::set<std::string> lost_regions;  // Unreachable at present.
  std::uint64_t plan_number = 0;
  std::map<std::string, SplitTarget> targets;    // By service.
  std::map<std::string, ServiceSplit> services;  // By service.
  TimePoint last_call;
  Duration elapsed{};       // Counted time; the time of load samples.
  Duration frozen_until{};  // The split moves once `elapsed` exceeds it.
};

// A peer's report of an entry VM's split of one service.
struct ReportedSplit {
  std::string entry;
  std::string entry_region;
  std::string service;
  std::uint64_t load = 0;
  Split split;
};

// Sets the splits after a start of the process. Each service starts from the
// first available of: the split that peers report for this entry VM (named
// `self`); the load-weighted mean of the splits of the peers in its region; the
// split in force that `plan` states; all traffic in its region. No split starts
// from the target of a plan, which would be a jump. The splits then stay
// unchanged for one window, because the movement before the start is not known.
void StartSplit(SplitState& state,
                const std::string& self,
                const std::vector<std::string>& services,
                const std::vector<ReportedSplit>& reports,
                const ShiftPlan& plan,
                TimePoint now);

// Adopts the targets of `plan` if its number is higher than that of the adopted
// plan; ignores the plan otherwise.
void AdoptPlan(SplitState& state, const ShiftPlan& plan);

// Moves each service's split towards its target by as much as the cap permits.
// The caller should call this at least 32 times per window; with fewer calls
// the split moves more slowly. `loads` has the current load per service; the
// unit is arbitrary but has to stay the same.
void AdvanceSplit(SplitState& state,
                  const std::map<std::string, std::uint64_t>& loads,
                  TimePoint now);

// Returns the split that the service's split moves towards: the target of the
// newest plan, with the parts of lost regions distributed to the other regions
// up to their ceilings. Parts that exceed the free capacity stay with the lost
// region. Without a plan, the lost parts go to the other regions in proportion
// to what each of them lacks of kPartsPerSplit; the pool owners limit what each
// region accepts.
Split EffectiveTarget(const SplitState& state, const std::string& service);

// Returns the region for a request whose hash is `point`, by weighted
// rendezvous hashing: when the split moves, only requests that have to change
// their region do so. Returns nothing if the service is not known or the region
// is lost. The parts of a lost region move away under the cap like any others,
// and until then these requests wait or are refused as "not run".
std::optional<std::string> PickRegion(const SplitState& state,
                                      const std::string& service,
                                      std::uint64_t point);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_SPLIT_H_
