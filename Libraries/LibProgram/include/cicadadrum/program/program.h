// What every program has: --help, --version, --settings, --check, and
// documented exit codes.

#ifndef CICADADRUM_PROGRAM_PROGRAM_H_
#define CICADADRUM_PROGRAM_PROGRAM_H_

#include <optional>
#include <string>

#include <boost/leaf.hpp>
#include <boost/program_options.hpp>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

// Exit codes of all programs.
enum class ExitCode : int {
  kSuccess = 0,
  kFailure = 1,          // The work failed; a message says why.
  kUsage = 2,            // The command line is wrong.
  kInvalidSettings = 3,  // Settings or a configuration were refused.
  kConflict =
      4,  // An edit was made on top of a version that is no longer current.
  kUncertain = 5,  // It is not known whether the work took effect.
};

template <>
struct EnumNames<ExitCode> {
  static constexpr auto kTable = std::to_array<EnumName<ExitCode>>({
      {ExitCode::kSuccess, "success"},
      {ExitCode::kFailure, "failure"},
      {ExitCode::kUsage, "usage"},
      {ExitCode::kInvalidSettings, "invalid-settings"},
      {ExitCode::kConflict, "conflict"},
      {ExitCode::kUncertain, "uncertain"},
  });
};

struct ProgramInfo {
  std::string name;
  std::string purpose;  // One sentence for --help.
};

// Parses the command line. --help, --version and errors are handled here: the
// result then holds the exit code, and the program ends. `options` gets --help
// and --version added.
struct ParsedCommandLine {
  boost::program_options::variables_map values;
  std::optional<ExitCode> exit;
};
ParsedCommandLine ParseCommandLine(
    const ProgramInfo& info,
    boost::program_options::options_description options,
    const boost::program_options::positional_options_description& positional,
    int argc,
    const char* const* argv);

// Returns the options of a daemon: --settings and --check.
boost::program_options::options_description DaemonOptions();

// Lets SIGTERM, SIGINT and SIGHUP wait, whose usual action ends a process. A
// daemon holds them from its first step until it watches them, and again once
// its loop has ended.
void BlockSignals();
void UnblockSignals();

// Writes the error to standard error and returns the exit code for it.
ExitCode ReportError(const ProgramInfo& info, const Error& error);

// Runs `body` (a function that returns leaf::result<ExitCode>) and reports its
// error, if any.
template <typename Body>
int RunProgram(const ProgramInfo& info, Body&& body) {
  const ExitCode code = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<ExitCode> { return body(); },
      [&](const Error& error) { return ReportError(info, error); },
      [&] {
        return ReportError(info, {ErrorCode::kInvalidMessage, "unknown error"});
      });
  return static_cast<int>(code);
}

}  // namespace cicadadrum

#endif  // CICADADRUM_PROGRAM_PROGRAM_H_
