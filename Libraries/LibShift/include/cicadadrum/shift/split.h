// The split of this entry VM's own traffic between regions, per service.
//
// The argument for the cap. Let an entry VM send load L times x(r) to region r.
// If over a window its split moves by at most m and its load changes by at most
// the fraction d, then the sum of its gains over regions and the sum of its
// losses are each at most (1 + d) m + d of its load at the start. Gains and
// losses of the fleet are at most the sums of those of the entry VMs, and the
// distance between two normalised load vectors is at most the larger of gains
// and losses divided by the load at the start. The load-weighted split of the
// fleet therefore moves by at most (1 + d) m + d. AdvanceSplit keeps
// m <= (cap - d) / (1 + d), where d is the load change seen in the last window
// but at least the reserve. Hence the fleet obeys the cap in every window in
// which no entry VM's load changes by more than the reserve. A larger change of
// load is the callers' doing; once it is seen the split moves by less, and not
// at all while the change alone uses up the cap.
//
// A step per call is limited by the time since the last call, of which at most
// 1/32 window counts. A pause or a clock that jumps forward earns no burst, a
// clock that jumps back earns nothing. The rate is 32/34 of the cap, so that a
// window may also hold the step of a call at its border and one false jump.
// Each further false jump in a window can add 1/34 of the cap.

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

struct ShiftLimits {
  std::uint32_t cap_parts = 0;  // Of kWholeSplit, per window.
  Duration window{};            // Positive.
  // Part of the cap that is kept for changes of the entry VM's own load.
  std::uint32_t load_reserve_parts = 0;
};

// Returns limits with a quarter of the cap kept for changes of load.
ShiftLimits MakeShiftLimits(std::uint32_t cap_percent, Duration window);

// Smallest and largest load seen from `at` until the next sample.
struct LoadSample {
  Duration at{};
  std::uint64_t lowest = 0;
  std::uint64_t highest = 0;
};

struct ServiceSplit {
  Split current;                 // Sums to kWholeSplit.
  std::uint64_t remainder = 0;   // Of the last step; less than one part.
  std::deque<LoadSample> loads;  // Of the last window and a little more.
};

struct SplitState {
  std::string self_region;
  std::vector<std::string> regions;  // Of the deployment.
  ShiftLimits limits;
  std::set<std::string>
      lost_regions;  // Regions that can't be reached at present.
  std::uint64_t plan_number = 0;
  std::map<std::string, SplitTarget> targets;    // By service.
  std::map<std::string, ServiceSplit> services;  // By service.
  TimePoint last_call;
  Duration elapsed{};       // Sum of the counted time; the time of the samples.
  Duration frozen_until{};  // No step before `elapsed` has reached it.
};

// What a peer told about an entry VM's split of one service.
struct ReportedSplit {
  std::string entry;
  std::string entry_region;
  std::string service;
  std::uint64_t load = 0;
  Split split;
};

// Sets the split after a start of the process. Each service starts from the
// first of: the split that peers remember of this entry VM; the load-weighted
// mean of the peers in its region; the split in force that the plan states; its
// own region. It never starts from the target. The split then stands still for
// one window, because the moves before the start are not known.
void StartSplit(SplitState& state,
                const std::string& self,
                const std::vector<std::string>& services,
                const std::vector<ReportedSplit>& reports,
                const ShiftPlan& plan,
                TimePoint now);

// Takes the targets of a newer plan; an older or equal number is ignored.
void AdoptPlan(SplitState& state, const ShiftPlan& plan);

// Moves each service's split towards its target by what the cap permits. Called
// at least 32 times a window; with fewer calls the split moves more slowly.
// `loads` has the present load per service in any one unit.
void AdvanceSplit(SplitState& state,
                  const std::map<std::string, std::uint64_t>& loads,
                  TimePoint now);

// Returns where the split is moving: the target of the newest plan, with the
// parts of lost regions put on the others up to their ceilings. What has no
// room stays with the lost region. Without a plan, the lost parts go to the
// other regions in proportion to what they lack of the whole; pool owners bound
// what each region takes.
Split EffectiveTarget(const SplitState& state, const std::string& service);

// Returns the region for a request whose hash is `point`. When the split moves,
// only requests that have to change their region do (weighted rendezvous).
// Nothing if the region is lost: its parts move away under the cap like any
// others, and until then these requests wait or are refused as "not run".
std::optional<std::string> PickRegion(const SplitState& state,
                                      const std::string& service,
                                      std::uint64_t point);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_SPLIT_H_
