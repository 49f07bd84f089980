// Selects entry VMs by their capacity and the place of the responder among its
// neighbours.

#include "cicadadrum/lookup/select_entries.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "cicadadrum/base/hash.h"

namespace cicadadrum {

namespace {

// Processor time of an entry VM for one request.
constexpr double kProcessorSecondsPerRequest = 0.0005;

// Shares are rounded up to multiples of 1 / kShareSteps, so that small changes
// of the requests' size change no selection.
constexpr double kShareSteps = 32;

// A caller that is told fewer entry VMs may lose all of them at once.
constexpr std::size_t kMinEntries = 4;

struct Candidate {
  EntryVm entry;
  // Requests per second. Infinite if neither link nor processor is known.
  double capacity = std::numeric_limits<double>::infinity();
  // In [0, 1). The entry VM is named if its share is above this.
  double position = 0;
};

double CapacityOf(const EntryVm& entry, double request_bytes) {
  constexpr double kBytesPerMegabit = 1e6 / 8;
  double capacity = std::numeric_limits<double>::infinity();
  if (entry.link_megabits_per_second > 0 && request_bytes > 0)
    capacity =
        entry.link_megabits_per_second * kBytesPerMegabit / request_bytes;
  if (entry.processor_share > 0)
    capacity =
        std::min(capacity, entry.processor_share / kProcessorSecondsPerRequest);
  return capacity;
}

// Returns where the responder stands among the entry VMs of its region, in
// [0, 1).
double PositionOf(const std::vector<EntryVm>& live,
                  const std::string& responder,
                  std::string_view region) {
  double before = 0;
  double count = 0;
  for (const EntryVm& entry : live) {
    if (entry.region != region)
      continue;
    count += 1;
    before += entry.name < responder ? 1 : 0;
  }
  return count > 0 ? before / count : 0;
}

// Returns a number in [0, 1) that is the same at every responder.
double HashPosition(const std::string& name) {
  return std::ldexp(static_cast<double>(HashBytes(name) >> 1), -63);
}

// Returns the part of the responders that name an entry VM.
double ShareOf(double capacity, double max_capacity) {
  if (capacity >= max_capacity)
    return 1;
  return std::ceil(capacity / max_capacity * kShareSteps) / kShareSteps;
}

std::vector<Candidate> CandidatesIn(std::vector<EntryVm> live,
                                    std::string_view region,
                                    const SelectionOptions& options) {
  const bool has_region =
      std::any_of(live.begin(), live.end(),
                  [&](const EntryVm& entry) { return entry.region == region; });
  const double responder =
      PositionOf(live, options.responder, options.responder_region);
  std::vector<Candidate> candidates;
  for (EntryVm& entry : live) {
    if (has_region && entry.region != region)
      continue;
    const double capacity = CapacityOf(entry, options.request_bytes);
    // The positions of the responders are evenly spaced, so each entry VM is
    // named by its share of them, up to one.
    const double sum = responder + HashPosition(entry.name);
    const double position = sum - std::floor(sum);
    candidates.push_back({std::move(entry), capacity, position});
  }
  return candidates;
}

}  // namespace

std::vector<EntryVm> SelectEntries(std::vector<EntryVm> live,
                                   std::string_view region,
                                   const SelectionOptions& options) {
  std::vector<Candidate> candidates =
      CandidatesIn(std::move(live), region, options);
  // One of unknown capacity counts as one of the strongest that are known.
  double max_capacity = 0;
  for (const Candidate& candidate : candidates) {
    if (std::isfinite(candidate.capacity))
      max_capacity = std::max(max_capacity, candidate.capacity);
  }
  // The candidates that are selected with the smallest shares come last.
  const auto margin = [&](const Candidate& candidate) {
    return candidate.position - ShareOf(candidate.capacity, max_capacity);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     return margin(a) < margin(b);
                   });
  std::vector<EntryVm> selected;
  for (Candidate& candidate : candidates) {
    if (selected.size() >= options.max_count ||
        (margin(candidate) >= 0 && selected.size() >= kMinEntries))
      break;
    selected.push_back(std::move(candidate.entry));
  }
  return selected;
}

}  // namespace cicadadrum
