// Program cicadadrum-demonstration: sends a mix of requests through a running
// deployment, marks a backend server as leaving, and checks the requirements on
// the results.

#include <csignal>
#include <iostream>
#include <set>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/program/program.h"
#include "load.h"
#include "mix.h"
#include "observe.h"
#include "report.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

// Limit on the wait for requests in progress after the load stops. The limit is
// the longest upload deadline, so that every request has ended.
constexpr Duration kMaxWaitForAnswers = Seconds(30);
constexpr Duration kWaitStep = Milliseconds(100);

void RunFor(EventLoop& loop, Duration duration) {
  Timer timer(loop, [&loop] { loop.Stop(); });
  timer.Schedule(loop.Now() + duration);
  loop.Run();
}

// Returns the server of `service` that has started the most requests,
// because only a server with requests in progress shows whether it drains.
std::string FindBusiestServer(EventLoop& loop,
                              const std::vector<BackendServer>& servers,
                              const std::string& service) {
  const auto observations = ObserveServers(loop, servers);
  std::string busiest;
  std::uint64_t most = 0;
  for (const BackendServer& server : servers) {
    const std::uint64_t requests_started =
        observations.at(server.name).requests_started;
    if (server.service != service || requests_started <= most)
      continue;
    busiest = server.name;
    most = requests_started;
  }
  return busiest;
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  BOOST_LEAF_AUTO(mix, LoadMix(values["settings"].as<std::string>()));
  const Duration length = Seconds(values["seconds"].as<int>());
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  Load load(loop, mix);
  load.Start();
  RunFor(loop, length / 3);
  const std::string marked_server =
      FindBusiestServer(loop, mix.servers, mix.leaving_service);
  const TimePoint marked_at = loop.Now();
  if (!MarkLeaving(loop, mix.deployment.entries, marked_server))
    return leaf::new_error(Error{ErrorCode::kUnavailable,
                                 "no entry VM accepted the leaving mark"});
  RunFor(loop, length - length / 3);
  load.Stop();
  const TimePoint wait_end = loop.Now() + kMaxWaitForAnswers;
  while (load.in_progress() > 0 && loop.Now() < wait_end)
    RunFor(loop, kWaitStep);
  RunObservations run{.load = load.result(),
                      .leaving_server = marked_server,
                      .faults_injected = values.contains("faults")};
  std::set<std::pair<std::string, RequestClass>> service_classes;
  for (const Stream& stream : mix.streams)
    service_classes.emplace(stream.service, stream.request_class);
  run.expected_service_classes = service_classes.size();
  run.servers = ObserveServers(loop, mix.servers);
  run.mark_to_end = loop.Now() - marked_at;
  run.entries = ObserveEntries(loop, mix.deployment.entries);
  const std::vector<Requirement> requirements = CheckRequirements(run);
  PrintReport(mix.deployment.name, run, requirements);
  if (load.in_progress() > 0)
    std::cout << load.in_progress() << " requests have no answer\n";
  const bool satisfied = std::all_of(
      requirements.begin(), requirements.end(),
      [](const Requirement& requirement) { return requirement.satisfied; });
  return satisfied && load.in_progress() == 0 ? ExitCode::kSuccess
                                              : ExitCode::kFailure;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  const cicadadrum::ProgramInfo info{
      "cicadadrum-demonstration",
      "sends a mix of requests and checks the requirements on the results"};
  po::options_description options("Options");
  options.add_options()("settings", po::value<std::string>()->required(),
                        "mix file, JSON with comments");
  options.add_options()("seconds", po::value<int>()->default_value(12),
                        "length of the run in seconds");
  options.add_options()(
      "faults", "faults are injected: requests may be interrupted and refused");
  const auto parsed =
      cicadadrum::ParseCommandLine(info, options, {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(info,
                                [&] { return cicadadrum::Run(parsed.values); });
}
