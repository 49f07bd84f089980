// Checks the requirements on a demonstration run and prints the report.

#ifndef CICADADRUM_DEMONSTRATION_REPORT_H_
#define CICADADRUM_DEMONSTRATION_REPORT_H_

#include <string>
#include <vector>

#include "load.h"
#include "observe.h"

namespace cicadadrum {

// The results of a run, and the state of the deployment at its end.
struct RunObservations {
  LoadResult load;
  std::size_t expected_service_classes =
      0;  // Number of pairs of service and class in the mix.
  std::string leaving_server;
  bool faults_injected =
      false;  // Whether faults other than planned stops were injected.
  Duration mark_to_end{};  // From the leaving mark to the observation of the
                           // servers at the end.
  std::map<std::string, ServerObservation> servers;
  std::map<std::string, EntryObservation> entries;
};

// One checked requirement, as a row of the report.
struct Requirement {
  std::string text;
  bool satisfied = false;
  std::string finding;  // Counts or times behind the result.
};

// Checks all requirements that apply to `run`.
std::vector<Requirement> CheckRequirements(const RunObservations& run);
// Prints the table of results by service and class, the reasons of failures,
// and the requirements.
void PrintReport(const std::string& deployment,
                 const RunObservations& run,
                 const std::vector<Requirement>& requirements);

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_REPORT_H_
