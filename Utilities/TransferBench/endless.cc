// Measures the memory of an entry VM whose servers send responses without end.

#include "endless.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <vector>

#include "cicadadrum/loop/http_client.h"
#include "configurations.h"
#include "endless_responses.h"
#include "headers.h"
#include "measured_entry.h"

namespace cicadadrum::platform {

namespace leaf = boost::leaf;

namespace {

// Servers that send responses without end, and requests at once.
constexpr std::size_t kResponses = 8;
// Requests that one server gets at most, with those that are retried.
constexpr std::size_t kRequestsPerServer = 64;
constexpr Duration kPeriod = Milliseconds(2);
constexpr Duration kLength = Seconds(4);
// All requests carry the same id, so that every response names it.
constexpr std::string_view kSharedId = "endless";

struct Result {
  double resident_before_megabytes = 0;
  double peak_resident_megabytes = 0;
  std::size_t ended = 0;  // Requests that got a response.
  bool is_alive = false;
};

std::string Identification() {
  return std::string(kRequestId) + ": " + std::string(kSharedId) + "\r\n";
}

Result Measure(const EndlessResponse& endless,
               const std::string& program,
               const std::string& folder,
               double memory_megabytes) {
  EventLoop loop;
  MeasuredEntry measured(loop, program, folder, memory_megabytes);
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  const ServerStandIn row(loop, "e", SoakFailureDomainOf(0).name);
  measured.store.Put("op", "config", ConfigurationBody(1, {DownloadRoute()}));
  for (std::size_t i = 0; i < kResponses; ++i) {
    const std::string id = "e-" + std::to_string(i);
    servers.push_back(std::make_unique<ScriptedServer>(
        loop, std::vector(kRequestsPerServer, endless.response)));
    servers.back()->AlwaysRespond(HealthRequestBegin(), HealthResponse(id));
    measured.store.Put("servers", id,
                       row.RowAt(servers.back()->address(), "ready"));
  }
  measured.Start();
  const pid_t pid = measured.process().pid;
  Result result{.resident_before_megabytes = ReadMemory(pid, "VmRSS")};
  HttpClient client(loop, {.max_connections_per_address = 2 * kResponses});
  for (std::size_t i = 0; i < kResponses; ++i)
    client.Send(measured.process().caller_address,
                {.target = std::string(kDownloadPrefix) + std::to_string(i),
                 .headers = {{"Host", "host"},
                             {std::string(kRequestId), std::string(kSharedId)},
                             {std::string(kDeadline), "3000"}}},
                loop.Now() + kLength,
                [&](HttpOutcome, const HttpResponse&) { ++result.ended; });
  const TimePoint end = loop.Now() + kLength;
  while (loop.Now() < end && result.ended < kResponses) {
    WaitUntil(
        loop, [] { return false; }, kPeriod);
    result.peak_resident_megabytes =
        std::max(result.peak_resident_megabytes, ReadMemory(pid, "VmHWM"));
  }
  result.is_alive = ReadMemory(pid, "VmRSS") > 0;
  return result;
}

}  // namespace

leaf::result<ExitCode> MeasureEndlessResponses(const std::string& program,
                                               double memory_megabytes) {
  std::printf("%zu responses at once, memory %.0f MB\n", kResponses,
              memory_megabytes);
  std::printf("%-36s | resident-MB  peak-MB  ended  alive\n", "without end");
  for (const EndlessResponse& endless : AllEndlessResponses(Identification())) {
    BOOST_LEAF_AUTO(folder, MakeFolder());
    const Result result = Measure(endless, program, folder, memory_megabytes);
    std::printf("%-36s | %11.1f %8.1f %6zu  %s\n", endless.name.c_str(),
                result.resident_before_megabytes,
                result.peak_resident_megabytes, result.ended,
                result.is_alive ? "yes" : "no");
    std::fflush(stdout);
  }
  return ExitCode::kSuccess;
}

}  // namespace cicadadrum::platform
