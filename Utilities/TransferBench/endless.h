// Measures the memory of an entry VM whose servers send responses without end.

#ifndef CICADADRUM_UTILITIES_TRANSFERBENCH_ENDLESS_H_
#define CICADADRUM_UTILITIES_TRANSFERBENCH_ENDLESS_H_

#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/program/program.h"

namespace cicadadrum::platform {

// Prints a table: for each place of a response that has no end, the peak of the
// process's memory while several servers send such responses at once. Error:
// kFileUnreadable.
boost::leaf::result<ExitCode> MeasureEndlessResponses(
    const std::string& program,
    double memory_megabytes);

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_UTILITIES_TRANSFERBENCH_ENDLESS_H_
