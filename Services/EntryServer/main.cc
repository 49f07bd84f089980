// cicadadrum-entry: the daemon that runs on every entry VM.

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <iostream>

#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/entry/entry_server.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/peer/peer_settings.h"
#include "cicadadrum/program/program.h"
#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

// File descriptors for connections to peers, backend servers and the platform.
constexpr rlim_t kNonCallerDescriptors = 512;

// Limits the number of open connections through the limit of file descriptors.
// evhttp 2.1 buffers request bodies before a handler runs and does not limit
// connections itself. The limit thus bounds the memory of all request bodies;
// the server stops accepting connections while no descriptor is free.
void LimitConnections(std::uint32_t max_connections) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur =
      std::min<rlim_t>(limit.rlim_max, max_connections + kNonCallerDescriptors);
  setrlimit(RLIMIT_NOFILE, &limit);
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  BOOST_LEAF_AUTO(settings,
                  LoadEntrySettings(values["settings"].as<std::string>()));
  if (!SetLogLevel(settings.log_level)) {
    return leaf::new_error(Error{ErrorCode::kInvalidSettings,
                                 "logLevel: '" + settings.log_level +
                                     "' is not allowed; expected trace, debug, "
                                     "info, warning, error or off"});
  }
  if (values.contains("check")) {
    std::cout << "settings are valid\n";
    return ExitCode::kSuccess;
  }
  std::signal(SIGPIPE, SIG_IGN);
  LimitConnections(settings.max_connections);
  EventLoop loop;
  EntryServer server(loop, settings, NewIncarnation());
  BOOST_LEAF_CHECK(server.Start());
  const auto stop = [&] { server.RequestStop([&loop] { loop.Stop(); }); };
  const SignalWatcher on_term(loop, SIGTERM, stop);
  const SignalWatcher on_interrupt(loop, SIGINT, stop);
  UnblockSignals();
  loop.Run();
  BlockSignals();
  LoggerFor("entry")->info("stopped");
  return ExitCode::kSuccess;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  cicadadrum::BlockSignals();
  const cicadadrum::ProgramInfo info{
      "cicadadrum-entry", "steers callers' requests to backend servers"};
  const auto parsed = cicadadrum::ParseCommandLine(
      info, cicadadrum::DaemonOptions(), {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(info,
                                [&] { return cicadadrum::Run(parsed.values); });
}
