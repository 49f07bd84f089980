// Command lines, exit codes and blocked signals.

#include "cicadadrum/program/program.h"

#include <csignal>
#include <iostream>

namespace cicadadrum {

namespace po = boost::program_options;

namespace {

constexpr auto kVersion = "0.1.0";

struct ErrorExit {
  ErrorCode error;
  ExitCode exit;
};

constexpr auto kErrorExits = std::to_array<ErrorExit>({
    {ErrorCode::kInvalidSettings, ExitCode::kInvalidSettings},
    {ErrorCode::kInvalidConfiguration, ExitCode::kInvalidSettings},
    {ErrorCode::kConflict, ExitCode::kConflict},
    {ErrorCode::kUncertain, ExitCode::kUncertain},
});

sigset_t DaemonSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal_number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&signals, signal_number);
  return signals;
}

}  // namespace

ParsedCommandLine ParseCommandLine(
    const ProgramInfo& info,
    po::options_description options,
    const po::positional_options_description& positional,
    int argc,
    const char* const* argv) {
  options.add_options()("help", "print this text")("version",
                                                   "print the version");
  ParsedCommandLine parsed;
  // Boost.Program_options reports errors only by exceptions, which are caught
  // here.
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positional)
                  .run(),
              parsed.values);
    if (parsed.values.contains("help")) {
      std::cout << info.name << ": " << info.purpose << "\n\n" << options;
      parsed.exit = ExitCode::kSuccess;
      return parsed;
    }
    if (parsed.values.contains("version")) {
      std::cout << info.name << ' ' << kVersion << '\n';
      parsed.exit = ExitCode::kSuccess;
      return parsed;
    }
    po::notify(parsed.values);
  } catch (const po::error& error) {
    std::cerr << info.name << ": " << error.what() << "; see --help\n";
    parsed.exit = ExitCode::kUsage;
  }
  return parsed;
}

po::options_description DaemonOptions() {
  po::options_description options("Options");
  options.add_options()("settings", po::value<std::string>()->required(),
                        "settings file, JSON with comments");
  options.add_options()("check", "validate the settings and exit");
  return options;
}

void BlockSignals() {
  const sigset_t signals = DaemonSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

void UnblockSignals() {
  const sigset_t signals = DaemonSignals();
  sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

ExitCode ReportError(const ProgramInfo& info, const Error& error) {
  std::cerr << info.name << ": " << NameOf(error.code) << ": " << error.detail
            << '\n';
  for (const ErrorExit& row : kErrorExits) {
    if (row.error == error.code)
      return row.exit;
  }
  return ExitCode::kFailure;
}

}  // namespace cicadadrum
