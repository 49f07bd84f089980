// Program fake-backend: simulates all backend servers listed in its settings in
// one process.

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include "cicadadrum/fake_backend/fake_backend.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/program/program.h"
#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

leaf::result<ExitCode> Run(const po::variables_map& values) {
  BOOST_LEAF_AUTO(
      settings, LoadFakeBackendSettings(values["settings"].as<std::string>()));
  SetLogLevel(settings.log_level);
  if (values.contains("check")) {
    std::cout << "settings are valid\n";
    return ExitCode::kSuccess;
  }
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  std::vector<std::unique_ptr<FakeBackend>> backends;
  for (const FakeBackendOptions& options : settings.servers) {
    backends.push_back(std::make_unique<FakeBackend>(loop, options));
    BOOST_LEAF_CHECK(backends.back()->Start());
  }
  const SignalWatcher on_term(loop, SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return ExitCode::kSuccess;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  const cicadadrum::ProgramInfo info{"fake-backend",
                                     "simulates backend servers"};
  const auto parsed = cicadadrum::ParseCommandLine(
      info, cicadadrum::DaemonOptions(), {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(info,
                                [&] { return cicadadrum::Run(parsed.values); });
}
