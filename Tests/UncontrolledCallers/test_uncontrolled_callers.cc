// Uncontrolled callers against the real program: it must live, keep to its
// memory and its descriptors, and answer ordinary requests.

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "crowd_check.h"
#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

// Of the process. The crowds send several times as much.
constexpr double kMemoryMegabytes = 80;
constexpr std::uint64_t kMaxDescriptors = 256;
constexpr std::uint64_t kFreeDescriptors = 16;
constexpr std::size_t kHeadLimit = 4096;
constexpr std::size_t kBodyLimit = 4'000'000;
constexpr int kHeadTimeoutMs = 1000;
constexpr int kIdleTimeoutMs = 2000;
constexpr std::size_t kCrowdSize = 24;
constexpr std::size_t kIdleCallers = 400;

// Bytes that callers without an end send at most.
constexpr std::uint64_t kMaxHeadBytes = 8'000'000;
constexpr std::uint64_t kMaxBytesAhead = 8'000'000;
// A whole body is sent this often on one connection.
constexpr std::uint64_t kWholeBodies = 2;

std::string Head(const std::string& method,
                 const std::string& target,
                 const std::string& framing = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: host\r\n" +
         std::string(kRequestId) + ": id\r\n" + std::string(kDeadline) +
         ": 20000\r\n" + framing + "\r\n";
}

CallerScript EndlessFields() {
  std::string head = Head("GET", "/read/a");
  head.resize(head.size() - 2);
  return {.begin = std::move(head),
          .repeated = "X-Filler: " + std::string(1000, 'x') + "\r\n",
          .max_bytes = kMaxHeadBytes};
}

CallerScript EndlessValue() {
  return {.begin = "GET /read/a HTTP/1.1\r\nHost: host\r\nX-Filler: ",
          .repeated = std::string(4096, 'x'),
          .max_bytes = kMaxHeadBytes};
}

CallerScript EndlessEmptyLines() {
  std::string lines;
  for (int i = 0; i < 2048; ++i)
    lines += "\r\n";
  return {.repeated = lines, .max_bytes = kMaxHeadBytes};
}

CallerScript RequestsAhead() {
  return {.repeated = Head("GET", "/nowhere"), .max_bytes = kMaxBytesAhead};
}

CallerScript ShortBodyWithLength() {
  const std::string head =
      Head("POST", "/write/a",
           "Content-Length: " + std::to_string(kBodyLimit) + "\r\n");
  return {.begin = head,
          .repeated = std::string(4096, 'x'),
          .max_bytes = head.size() + kBodyLimit - 1};
}

CallerScript ShortBodyInChunks() {
  const std::string head =
      Head("POST", "/write/a", "Transfer-Encoding: chunked\r\n");
  const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  // The last chunk is missing.
  const std::uint64_t chunks = kBodyLimit / 4096;
  return {.begin = head,
          .repeated = chunk,
          .max_bytes = head.size() + chunks * chunk.size()};
}

CallerScript WholeBodies() {
  const std::string request =
      Head("POST", "/write/a",
           "Content-Length: " + std::to_string(kBodyLimit) + "\r\n") +
      std::string(kBodyLimit, 'x');
  return {.repeated = request, .max_bytes = kWholeBodies * request.size()};
}

CallerScript BegunHead() {
  return {.begin = "GET /read/a HTTP/1.1\r\n"};
}

using ScriptMaker = CallerScript (*)();

// Returns a crowd whose members follow the scripts in turn.
std::vector<CallerScript> CrowdOf(const std::vector<ScriptMaker>& makers,
                                  std::size_t size) {
  std::vector<CallerScript> scripts;
  for (std::size_t i = 0; i < size; ++i)
    scripts.push_back(makers[i % makers.size()]());
  return scripts;
}

void CheckCrowd(std::vector<CallerScript> scripts) {
  CheckCrowds({.memory_megabytes = kMemoryMegabytes,
               .max_descriptors = kMaxDescriptors,
               .free_descriptors = kFreeDescriptors,
               .header_bytes = kHeadLimit,
               .body_bytes = kBodyLimit,
               .header_timeout_ms = kHeadTimeoutMs,
               .idle_timeout_ms = kIdleTimeoutMs},
              {{&EntryProcess::caller_address, std::move(scripts)}});
}

}  // namespace

TEST_CASE("callers send heads without end") {
  CheckCrowd(CrowdOf({EndlessFields, EndlessValue}, kCrowdSize));
}

TEST_CASE("callers send empty lines without end before a request") {
  CheckCrowd(CrowdOf({EndlessEmptyLines}, kCrowdSize));
}

TEST_CASE("callers send requests ahead for no route and read no response") {
  CheckCrowd(CrowdOf({RequestsAhead}, kCrowdSize));
}

TEST_CASE("callers send bodies with a length that stop short of their end") {
  CheckCrowd(CrowdOf({ShortBodyWithLength}, kCrowdSize));
}

TEST_CASE("callers send bodies in chunks that stop short of their end") {
  CheckCrowd(CrowdOf({ShortBodyInChunks}, kCrowdSize));
}

TEST_CASE("callers send whole large bodies at once") {
  CheckCrowd(CrowdOf({WholeBodies}, kCrowdSize));
}

TEST_CASE("callers of all kinds come at once") {
  CheckCrowd(
      CrowdOf({EndlessFields, EndlessValue, EndlessEmptyLines, RequestsAhead,
               ShortBodyWithLength, ShortBodyInChunks, WholeBodies},
              2 * kCrowdSize));
}

// Guards against connections that take the descriptors which the entry VM
// needs for servers and the store.
TEST_CASE("callers open many connections and send no whole head") {
  CheckCrowd(CrowdOf({BegunHead}, kIdleCallers));
}

}  // namespace cicadadrum::platform
