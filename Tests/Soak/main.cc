// cicadadrum-soak: runs processes of cicadadrum-platform on loopback against
// substitutes for the store and the backend servers. The program injects faults
// in an order that a seed determines, and checks which responses the callers
// receive and which requests the servers execute. The exit code is 0 only if
// every check passed.

#include <stdlib.h>

#include <csignal>
#include <iostream>

#include "cicadadrum/base/error.h"
#include "cicadadrum/program/program.h"
#include "soak.h"

namespace cicadadrum::platform {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

po::options_description Options() {
  po::options_description options("Options");
  options.add_options()("program", po::value<std::string>()->required(),
                        "path of the program cicadadrum-platform")(
      "seed", po::value<std::uint64_t>()->default_value(1),
      "seed of the random faults and requests")(
      "seconds", po::value<std::int64_t>()->default_value(20),
      "duration of the time with faults, in seconds")(
      "entries", po::value<std::size_t>()->default_value(4),
      "number of entry VMs, 1 to 200")(
      "faults", po::value<std::string>()->default_value(""),
      "names of the faults to inject, separated by commas; all by default")(
      "requests-per-download", po::value<std::uint64_t>()->default_value(0),
      "of so many requests, one is a download; 0 for none")(
      "strict", po::bool_switch(),
      "fail also on retries by an older route than the one in force and on "
      "outdated decisions of entry VMs that were out of touch");
  return options;
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  std::signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/cicadadrum-soak-XXXXXX";
  if (mkdtemp(folder) == nullptr)
    return leaf::new_error(
        Error{ErrorCode::kFileUnreadable, "can't create a folder in /tmp"});
  const auto seed = values["seed"].as<std::uint64_t>();
  BOOST_LEAF_AUTO(faults, ParseFaults(values["faults"].as<std::string>()));
  Soak soak({.program = values["program"].as<std::string>(),
             .folder = folder,
             .seed = seed,
             .entry_count = values["entries"].as<std::size_t>(),
             .faults = faults.empty() ? AllFaults() : faults,
             .requests_per_download =
                 values["requests-per-download"].as<std::uint64_t>(),
             .is_strict = values["strict"].as<bool>()});
  soak.Run(Seconds(values["seconds"].as<std::int64_t>()));
  const bool passed = soak.Report(std::cout);
  std::cout << "seed " << seed << (passed ? ": held" : ": broken")
            << "; logs are in " << folder << "\n";
  return passed ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace

}  // namespace cicadadrum::platform

int main(int argc, char** argv) {
  const cicadadrum::ProgramInfo info{"cicadadrum-soak",
                                     "injects faults into entry VM processes "
                                     "and checks responses and executions"};
  const auto parsed = cicadadrum::ParseCommandLine(
      info, cicadadrum::platform::Options(), {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(
      info, [&] { return cicadadrum::platform::Run(parsed.values); });
}
