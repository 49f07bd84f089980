// cicadadrum-transfer-bench: measures the memory of an entry VM whose callers
// read large responses slowly or not at all, or whose servers send responses
// without end. It starts one real process of
// cicadadrum-platform for each row, on loopback.

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "cicadadrum/base/error.h"
#include "cicadadrum/program/program.h"
#include "configurations.h"
#include "endless.h"
#include "headers.h"
#include "measured_entry.h"

namespace cicadadrum::platform {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

// Time between the begins of two readers.
constexpr Duration kReaderInterval = Milliseconds(20);
// Time for which the readers wait after the last one has begun.
constexpr Duration kHoldTime = Seconds(2);
// A small receive buffer and small segments of a reader keep the response in
// the entry VM's process instead of the buffers of the kernel.
constexpr int kReaderBufferBytes = 4096;
constexpr int kReaderSegmentBytes = 536;

struct Row {
  std::size_t readers = 0;
  double memory_megabytes = 0;  // 0 for no bound.
};

struct Result {
  double resident_before_megabytes = 0;
  double peak_resident_megabytes = 0;
  std::uint64_t reached_servers = 0;  // Requests that a server handled.
};

po::options_description Options() {
  po::options_description options("Options");
  options.add_options()("program", po::value<std::string>()->required(),
                        "path of the program cicadadrum-platform")(
      "response-bytes", po::value<std::size_t>()->default_value(540'000),
      "size of the response to each reader")(
      "endless", "measure responses without end instead of slow readers")(
      "memory-megabytes", po::value<double>()->default_value(160),
      "memory of the entry VM, with --endless");
  return options;
}

// Sends a request for a download and reads nothing. Returns the socket.
int StartReader(const std::string& address, std::size_t number) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReaderBufferBytes,
             sizeof(kReaderBufferBytes));
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kReaderSegmentBytes,
             sizeof(kReaderSegmentBytes));
  const std::size_t colon = address.rfind(':');
  sockaddr_in target{.sin_family = AF_INET};
  target.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  if (connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0)
    return fd;
  const std::string request =
      "GET " + std::string(kDownloadPrefix) + std::to_string(number) +
      " HTTP/1.1\r\nHost: host\r\n" + std::string(kRequestId) + ": reader-" +
      std::to_string(number) + "\r\n" + std::string(kDeadline) +
      ": 3000\r\n\r\n";
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  return fd;
}

Result RunRow(const Row& row,
              const std::string& program,
              const std::string& folder,
              std::size_t response_bytes) {
  EventLoop loop;
  MeasuredEntry measured(loop, program, folder, row.memory_megabytes);
  ServerStandIn server(loop, "s-one", SoakFailureDomainOf(0).name);
  server.SetDownloadBytes(response_bytes);
  measured.store.Put("op", "config", ConfigurationBody(1, {DownloadRoute()}));
  measured.store.Put("servers", server.id(), server.Row("ready"));
  measured.Start();
  EntryProcess& entry = measured.process();
  Result result{.resident_before_megabytes = ReadMemory(entry.pid, "VmRSS")};
  std::list<int> readers;
  for (std::size_t i = 0; i < row.readers; ++i) {
    readers.push_back(StartReader(entry.caller_address, i));
    WaitUntil(
        loop, [] { return false; }, kReaderInterval);
  }
  WaitUntil(
      loop, [] { return false; }, kHoldTime);
  result.peak_resident_megabytes = ReadMemory(entry.pid, "VmHWM");
  result.reached_servers = server.executed_requests().size();
  for (const int fd : readers)
    close(fd);
  return result;
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto program = values["program"].as<std::string>();
  if (values.count("endless") > 0)
    return MeasureEndlessResponses(program,
                                   values["memory-megabytes"].as<double>());
  std::printf("readers  memory-MB | resident-MB  peak-MB  accepted\n");
  const std::vector<Row> rows = {{0, 160},   {10, 160}, {50, 160},
                                 {200, 160}, {50, 0},   {200, 0}};
  for (const Row& row : rows) {
    BOOST_LEAF_AUTO(folder, MakeFolder());
    const Result result = RunRow(row, program, folder,
                                 values["response-bytes"].as<std::size_t>());
    std::printf("%7zu %10.0f | %11.1f %8.1f %9llu\n", row.readers,
                row.memory_megabytes, result.resident_before_megabytes,
                result.peak_resident_megabytes,
                static_cast<unsigned long long>(result.reached_servers));
    std::fflush(stdout);
  }
  return ExitCode::kSuccess;
}

}  // namespace

}  // namespace cicadadrum::platform

int main(int argc, char** argv) {
  const cicadadrum::ProgramInfo info{
      "cicadadrum-transfer-bench",
      "measures the memory of an entry VM with slow readers"};
  const auto parsed = cicadadrum::ParseCommandLine(
      info, cicadadrum::platform::Options(), {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(
      info, [&] { return cicadadrum::platform::Run(parsed.values); });
}
