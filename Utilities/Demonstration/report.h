// The table of what happened, and the check of the promises.

#ifndef CICADADRUM_DEMONSTRATION_REPORT_H_
#define CICADADRUM_DEMONSTRATION_REPORT_H_

#include <string>
#include <vector>

#include "load.h"
#include "observe.h"

namespace cicadadrum {

struct RunRecord {
  LoadResult load;
  std::size_t expected_rows = 0;  // Pairs of service and class in the mix.
  std::string leaving_server;
  bool faults = false;  // Faults other than planned stops were brought about.
  Duration mark_to_end{};  // From the mark to the observation at the end.
  std::map<std::string, ServerObservation> servers;
  std::map<std::string, EntryObservation> entries;
};

struct Promise {
  std::string text;
  bool held = false;
  std::string figure;
};

std::vector<Promise> CheckPromises(const RunRecord& record);
void PrintReport(const std::string& deployment,
                 const RunRecord& record,
                 const std::vector<Promise>& promises);

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_REPORT_H_
