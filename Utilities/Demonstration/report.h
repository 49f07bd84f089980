// The table of what happened, and the check of the requirements.

#ifndef CICADADRUM_DEMONSTRATION_REPORT_H_
#define CICADADRUM_DEMONSTRATION_REPORT_H_

#include <string>
#include <vector>

#include "load.h"
#include "observe.h"

namespace cicadadrum {

struct RunObservations {
  LoadResult load;
  std::size_t expected_service_classes =
      0;  // Pairs of service and class in the mix.
  std::string leaving_server;
  bool faults_injected =
      false;  // Faults other than planned stops were brought about.
  Duration mark_to_end{};  // From the mark to the observation at the end.
  std::map<std::string, ServerObservation> servers;
  std::map<std::string, EntryObservation> entries;
};

struct Requirement {
  std::string text;
  bool satisfied = false;
  std::string finding;
};

std::vector<Requirement> CheckRequirements(const RunObservations& run);
void PrintReport(const std::string& deployment,
                 const RunObservations& run,
                 const std::vector<Requirement>& requirements);

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_REPORT_H_
