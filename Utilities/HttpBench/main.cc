// cicadadrum-http-bench: sends a fixed number of requests to one entry VM over
// persistent connections and prints the request rate, the latency, and the CPU
// time and memory of the entry VM's process.

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <vector>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/loop/http_fetch.h"
#include "cicadadrum/program/program.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

constexpr Duration kTimeout = Seconds(5);

// Returns the value of a metric without labels, or -1 if it is missing.
double ReadMetric(const std::string& text, const std::string& name) {
  const std::size_t at = text.find("\n" + name + " ");
  return at == std::string::npos
             ? -1
             : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
}

// State of one benchmark run. SendNext starts a request and, when that request
// ends, the next one, until `remaining` is zero.
struct BenchmarkRun {
  EventLoop& loop;
  HttpClient client;
  std::string address;
  HttpRequest request;
  std::uint64_t remaining = 0;
  std::uint64_t in_flight = 0;
  std::uint64_t failed = 0;
  std::vector<Duration> latencies;

  void SendNext() {
    if (remaining == 0)
      return;
    --remaining;
    ++in_flight;
    const TimePoint started = loop.Now();
    client.Send(
        address, request, started + kTimeout,
        [this, started](HttpOutcome outcome, const HttpResponse& response) {
          failed += outcome == HttpOutcome::kAnswered && response.status == 200
                        ? 0
                        : 1;
          latencies.push_back(loop.Now() - started);
          --in_flight;
          SendNext();
          if (in_flight == 0)
            loop.Stop();
        });
  }
};

HttpRequest MakeRequest(const po::variables_map& values) {
  HttpRequest request{.target = values["target"].as<std::string>()};
  request.headers = {
      {"Cicadadrum-Client-Account", values["client-account"].as<std::string>()},
      {"Cicadadrum-Class", values["class"].as<std::string>()}};
  return request;
}

double Microseconds(Duration duration) {
  return static_cast<double>(duration.count());
}

leaf::result<ExitCode> Measure(const po::variables_map& values) {
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  const auto address = values["entry"].as<std::string>();
  const auto connections = values["connections"].as<std::uint32_t>();
  const auto requests = values["requests"].as<std::uint64_t>();
  BenchmarkRun run{
      .loop = loop,
      .client = HttpClient(loop, {.max_connections_per_address = connections}),
      .address = address,
      .request = MakeRequest(values),
      .remaining = requests};
  const HttpCall before = Fetch(
      loop, {.address = address, .request = {.target = "/metrics"}}, kTimeout);
  const TimePoint started = loop.Now();
  for (std::uint32_t i = 0; i < connections; ++i)
    run.SendNext();
  loop.Run();
  const double seconds = Microseconds(loop.Now() - started) / 1e6;
  const HttpCall after = Fetch(
      loop, {.address = address, .request = {.target = "/metrics"}}, kTimeout);
  if (before.outcome != HttpOutcome::kAnswered ||
      after.outcome != HttpOutcome::kAnswered)
    return leaf::new_error(
        Error{ErrorCode::kUnavailable, address + " does not answer /metrics"});
  std::sort(run.latencies.begin(), run.latencies.end());
  const double processor_seconds =
      ReadMetric(after.response.body, "process_cpu_seconds") -
      ReadMetric(before.response.body, "process_cpu_seconds");
  const auto count = static_cast<double>(requests);
  std::printf(
      "requests %.0f failed %llu per-second %.0f p50-us %.0f p99-us %.0f "
      "entry-cpu-us %.1f "
      "entry-max-resident-mb %.1f\n",
      count, static_cast<unsigned long long>(run.failed), count / seconds,
      Microseconds(run.latencies[run.latencies.size() / 2]),
      Microseconds(run.latencies[run.latencies.size() * 99 / 100]),
      processor_seconds * 1e6 / count,
      ReadMetric(after.response.body, "process_max_resident_bytes") / 1e6);
  return run.failed == 0 ? ExitCode::kSuccess : ExitCode::kFailure;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  const cicadadrum::ProgramInfo info{"cicadadrum-http-bench",
                                     "measures one entry VM over HTTP"};
  po::options_description options("Options");
  options.add_options()("entry", po::value<std::string>()->required(),
                        "entry VM, IP:port");
  options.add_options()("target",
                        po::value<std::string>()->default_value(
                            "/v1/lookup?client_account=c&service=s"),
                        "path and query");
  options.add_options()("client-account",
                        po::value<std::string>()->default_value(""),
                        "client account");
  options.add_options()("class",
                        po::value<std::string>()->default_value("urgent"),
                        "class of requests");
  options.add_options()("requests",
                        po::value<std::uint64_t>()->default_value(50000),
                        "number of requests");
  options.add_options()("connections",
                        po::value<std::uint32_t>()->default_value(8),
                        "connections");
  const auto parsed =
      cicadadrum::ParseCommandLine(info, options, {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(
      info, [&] { return cicadadrum::Measure(parsed.values); });
}
