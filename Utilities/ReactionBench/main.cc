// cicadadrum-reaction-bench: measures how long entry VMs with a small share of
// a processor take from the store's bytes to acting on a new configuration and
// on a server that leaves, as routes, servers and load grow, and after a pause.
// The program starts real processes of cicadadrum-platform on loopback. It
// needs a few minutes; --quick plays one row.

#include <stdlib.h>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "cicadadrum/base/error.h"
#include "cicadadrum/program/program.h"
#include "trial.h"

namespace cicadadrum::platform {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

constexpr std::size_t kDefaultRoutes = 350;
constexpr std::size_t kDefaultServers = 218;
constexpr std::uint32_t kDefaultLoad = 30;

po::options_description Options() {
  po::options_description options("Options");
  options.add_options()("program", po::value<std::string>()->required(),
                        "path of the program cicadadrum-platform")(
      "percent", po::value<std::uint32_t>()->default_value(10),
      "share of a processor of each entry VM, 10 to 100")(
      "repeats", po::value<std::uint32_t>()->default_value(3),
      "changes of each kind in a row of the table")(
      "entries", po::value<std::size_t>()->default_value(1),
      "number of entry VMs, 1 to 60")("quick", po::bool_switch(),
                                      "play only the row of the default sizes");
  return options;
}

// Returns the rows of the table: the default sizes, and each size varied.
std::vector<TrialOptions> MakeRows(bool quick) {
  const TrialOptions standard{.routes = kDefaultRoutes,
                              .servers = kDefaultServers,
                              .load = kDefaultLoad};
  std::vector<TrialOptions> rows = {standard};
  if (quick)
    return rows;
  const auto add = [&](auto member, auto values) {
    for (const auto value : values) {
      rows.push_back(standard);
      rows.back().*member = value;
    }
  };
  add(&TrialOptions::routes, std::vector<std::size_t>{10, 1400, 2800});
  add(&TrialOptions::servers, std::vector<std::size_t>{2, 800, 1600});
  add(&TrialOptions::load, std::vector<std::uint32_t>{0, 60});
  add(&TrialOptions::pause, std::vector<Duration>{Seconds(2)});
  rows.push_back(standard);
  rows.back().routes = 1400;
  rows.back().pause = Seconds(2);
  return rows;
}

void PrintRow(const TrialOptions& row, const TrialResult& result) {
  std::printf("%7zu %7zu %5u %6lld | %11lld %11lld %10lld %13.1f%s\n",
              row.routes, row.servers, row.load,
              static_cast<long long>(row.pause / Milliseconds(1)),
              static_cast<long long>(result.in_force / Milliseconds(1)),
              static_cast<long long>(result.outdated / Milliseconds(1)),
              static_cast<long long>(result.leaving / Milliseconds(1)),
              static_cast<double>(result.configuration_bytes) / 1000,
              result.completed ? "" : "  not completed");
  std::fflush(stdout);
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  std::signal(SIGPIPE, SIG_IGN);
  std::printf(
      "routes  servers  load  pause | in-force-ms outdated-ms leaving-ms "
      "kB-per-change\n");
  bool completed = true;
  for (TrialOptions row : MakeRows(values["quick"].as<bool>())) {
    char folder[] = "/tmp/cicadadrum-reaction-XXXXXX";
    if (mkdtemp(folder) == nullptr)
      return leaf::new_error(
          Error{ErrorCode::kFileUnreadable, "can't create a folder in /tmp"});
    row.program = values["program"].as<std::string>();
    row.folder = folder;
    row.processor_percent = values["percent"].as<std::uint32_t>();
    row.repeats = values["repeats"].as<std::uint32_t>();
    row.entry_count = values["entries"].as<std::size_t>();
    const TrialResult result = RunTrial(row);
    PrintRow(row, result);
    completed = completed && result.completed;
  }
  return completed ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace

}  // namespace cicadadrum::platform

int main(int argc, char** argv) {
  const cicadadrum::ProgramInfo info{
      "cicadadrum-reaction-bench",
      "measures how long entry VMs take to act on changes"};
  const auto parsed = cicadadrum::ParseCommandLine(
      info, cicadadrum::platform::Options(), {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(
      info, [&] { return cicadadrum::platform::Run(parsed.values); });
}
