// Common parts of all programs: the options --help, --version, --settings and
// --check, documented exit codes, and signals that arrive during startup.

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
  kFailure = 1,          // The program failed; a message gives the reason.
  kUsage = 2,            // The command line is invalid.
  kInvalidSettings = 3,  // Settings or a configuration are invalid.
  kConflict = 4,         // The version that an edit is based on is outdated.
  kUncertain = 5,        // Whether the operation took effect is unknown.
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

// Result of ParseCommandLine().
struct ParsedCommandLine {
  boost::program_options::variables_map values;
  // If set, the program must exit with this code.
  std::optional<ExitCode> exit;
};

// Parses the command line by `options`, to which --help and --version are
// added. Handles --help, --version and errors itself: prints the text or the
// error and sets `exit` in the result.
ParsedCommandLine ParseCommandLine(
    const ProgramInfo& info,
    boost::program_options::options_description options,
    const boost::program_options::positional_options_description& positional,
    int argc,
    const char* const* argv);

// Returns the options of a daemon: --settings and --check.
boost::program_options::options_description DaemonOptions();

// Blocks and unblocks SIGTERM, SIGINT and SIGHUP, whose default action ends a
// process. A blocked signal stays pending until it is unblocked. A daemon
// blocks these signals from its first step until its signal watchers are
// installed, and again once its loop has ended.
void BlockSignals();
void UnblockSignals();

// Writes the error to standard error and returns the exit code that stands for
// it.
ExitCode ReportError(const ProgramInfo& info, const Error& error);

// Calls `body` (a function that returns leaf::result<ExitCode>), reports its
// error, if any, and returns the exit code of the process.
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
