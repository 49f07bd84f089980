// Crowds that are large for the memory of their VM, at each address that
// callers may use, against the real program.
//
// What one caller holds is small here, so only the sum over all callers can
// exceed the memory. Each crowd is sent to the address of requests and to that
// of lookups.

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "crowd_check.h"
#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

// A VM, and how many callers come to it.
struct Crowding {
  double memory_megabytes = 64;
  std::uint64_t max_descriptors = 1024;
  std::size_t callers = 300;
};

// The crowd wants more connections than callers may have.
constexpr Crowding kFewDescriptors{.max_descriptors = 256};
// Many callers for little memory.
constexpr Crowding kLittleMemory{.memory_megabytes = 40,
                                 .max_descriptors = 2048,
                                 .callers = 900};

constexpr std::uint64_t kFreeDescriptors = 64;

// Limits of callers in the configuration.
constexpr std::size_t kHeadLimit = 16'384;
constexpr int kHeadTimeoutMs = 2000;
constexpr int kIdleTimeoutMs = 4000;

// Bytes that one caller sends at most, if it would not end.
constexpr std::uint64_t kMaxSentBytes = 1'000'000;

// The caller states that it waits for long, also for the end of its own body.
std::string HeadBegin(const std::string& method, const std::string& target) {
  return method + " " + target + " HTTP/1.1\r\nHost: host\r\n" +
         std::string(kRequestId) + ": id\r\n" + std::string(kDeadline) +
         ": 100000\r\n";
}

const std::string kChunkedHead =
    HeadBegin("POST", "/write/a") + "Transfer-Encoding: chunked\r\n\r\n";

std::string HeadWithLength(const std::string& target, std::size_t length) {
  return HeadBegin("POST", target) +
         "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

// Returns `begin` and as many `pieces` as fit into a head.
std::string FillHead(std::string begin, const std::string& piece) {
  constexpr std::size_t kRest = 512;  // For what follows.
  while (begin.size() + piece.size() + kRest < kHeadLimit)
    begin += piece;
  return begin;
}

// A body without its last byte, behind the head.
CallerScript ShortBody(const std::string& head, std::size_t length) {
  return {.begin = head,
          .repeated = std::string(4096, 'x'),
          .max_bytes = head.size() + length - 1};
}

CallerScript EndlessHead() {
  return {.begin = HeadBegin("GET", "/read/a"),
          .repeated = "X-Filler: " + std::string(1000, 'x') + "\r\n",
          .max_bytes = kMaxSentBytes};
}

CallerScript EmptyLines() {
  return {.repeated = "\r\n", .max_bytes = kMaxSentBytes / 10};
}

CallerScript HeadThatStopsShort() {
  const std::string head = FillHead(HeadBegin("GET", "/read/a"), "a:b\r\n");
  return {.begin = head, .max_bytes = head.size()};
}

CallerScript WholeBodies() {
  const std::string head = HeadWithLength("/write/a", kMaxSentBytes / 2);
  return {.repeated = head + std::string(kMaxSentBytes / 2, 'x'),
          .max_bytes = kMaxSentBytes};
}

CallerScript BodyThatStopsShort() {
  return ShortBody(HeadWithLength("/write/a", kMaxSentBytes), kMaxSentBytes);
}

// The largest bodies that count as small requests.
CallerScript SmallBodyThatStopsShort() {
  constexpr std::size_t kSmallBody = 60'000;
  return ShortBody(HeadWithLength("/write/a", kSmallBody), kSmallBody);
}

CallerScript LargeChunks() {
  return {.begin = kChunkedHead,
          .repeated = "8000\r\n" + std::string(0x8000, 'x') + "\r\n",
          .max_bytes = kMaxSentBytes};
}

CallerScript SmallChunks() {
  return {.begin = kChunkedHead,
          .repeated = "10\r\n" + std::string(0x10, 'x') + "\r\n",
          .max_bytes = kMaxSentBytes / 5};
}

CallerScript OneByteChunks() {
  return {.begin = kChunkedHead,
          .repeated = "1\r\nx\r\n",
          .max_bytes = kMaxSentBytes / 20};
}

CallerScript ChunkExtensions() {
  return {.begin = kChunkedHead,
          .repeated = "1;" + std::string(1000, 'x') + "\r\nx\r\n",
          .max_bytes = kMaxSentBytes};
}

CallerScript Trailers() {
  return {
      .begin = kChunkedHead + "10\r\n" + std::string(0x10, 'x') + "\r\n0\r\n",
      .repeated = "X-Trailer: x\r\n",
      .max_bytes = kMaxSentBytes};
}

CallerScript RequestsAhead() {
  return {.repeated = HeadBegin("GET", "/nowhere") + "\r\n",
          .max_bytes = kMaxSentBytes};
}

// Heads that take more memory than bytes.
CallerScript ManyParameters() {
  const std::string target = FillHead("/write/a?", "a&");
  return ShortBody(HeadWithLength(target, 1000), 1000);
}

CallerScript ManyValues() {
  const std::string target = FillHead("/write/a?", "a=b&");
  return ShortBody(HeadWithLength(target, 1000), 1000);
}

CallerScript ManyFields() {
  return ShortBody(FillHead(HeadBegin("POST", "/write/a"), "a:b\r\n") +
                       "Content-Length: 1000\r\n\r\n",
                   1000);
}

CallerScript ManyFieldsOfRequests() {
  const std::string head =
      FillHead(HeadBegin("GET", "/read/a"), "a:b\r\n") + "\r\n";
  return {.begin = head, .max_bytes = head.size()};
}

using ScriptMaker = CallerScript (*)();

// The callers of one address, which all do the same.
struct UniformCrowd {
  const std::string& (EntryProcess::*address)() const;
  ScriptMaker make_script;
};

void CheckUniformCrowds(const std::vector<UniformCrowd>& crowds,
                        const Crowding& crowding = {}) {
  std::vector<CrowdAt> crowds_at;
  crowds_at.reserve(crowds.size());
  for (const UniformCrowd& crowd : crowds)
    crowds_at.push_back({crowd.address, std::vector<CallerScript>(
                                            crowding.callers / crowds.size(),
                                            crowd.make_script())});
  CheckCrowds({.memory_megabytes = crowding.memory_megabytes,
               .max_descriptors = crowding.max_descriptors,
               .free_descriptors = kFreeDescriptors,
               .header_bytes = kHeadLimit,
               .header_timeout_ms = kHeadTimeoutMs,
               .idle_timeout_ms = kIdleTimeoutMs},
              std::move(crowds_at));
}

void CheckEachAddress(ScriptMaker make_script, const Crowding& crowding = {}) {
  SUBCASE("at the address of requests") {
    CheckUniformCrowds({{&EntryProcess::caller_address, make_script}},
                       crowding);
  }
  SUBCASE("at the address of lookups") {
    CheckUniformCrowds({{&EntryProcess::lookup_address, make_script}},
                       crowding);
  }
}

}  // namespace

TEST_CASE("a large crowd sends heads without end") {
  CheckEachAddress(EndlessHead);
}

TEST_CASE("a large crowd sends empty lines without end") {
  CheckEachAddress(EmptyLines);
}

TEST_CASE("a large crowd sends heads that stop short of their end") {
  CheckEachAddress(HeadThatStopsShort);
}

TEST_CASE("a large crowd sends whole bodies") {
  CheckEachAddress(WholeBodies);
}

TEST_CASE("a large crowd sends bodies that stop short of their end") {
  CheckEachAddress(BodyThatStopsShort);
}

TEST_CASE("a large crowd sends small bodies that stop short of their end") {
  CheckEachAddress(SmallBodyThatStopsShort);
}

TEST_CASE("a large crowd sends large chunks") {
  CheckEachAddress(LargeChunks);
}

TEST_CASE("a large crowd sends small chunks") {
  CheckEachAddress(SmallChunks);
}

TEST_CASE("a large crowd sends chunks of one byte") {
  CheckEachAddress(OneByteChunks);
}

TEST_CASE("a large crowd sends chunk extensions without end") {
  CheckEachAddress(ChunkExtensions);
}

TEST_CASE("a large crowd sends trailers without end") {
  CheckEachAddress(Trailers);
}

TEST_CASE("a large crowd sends requests ahead and reads no response") {
  CheckEachAddress(RequestsAhead);
}

TEST_CASE("a large crowd sends many short parameters") {
  CheckEachAddress(ManyParameters);
}

TEST_CASE("a large crowd sends many parameters with values") {
  CheckEachAddress(ManyValues);
}

TEST_CASE("a large crowd sends many short fields before a body") {
  CheckEachAddress(ManyFields);
}

TEST_CASE("a large crowd sends many short fields at once") {
  CheckEachAddress(ManyFieldsOfRequests);
}

// Guards against memory that each address has for itself.
TEST_CASE("large crowds come to all addresses at once") {
  CheckUniformCrowds({{&EntryProcess::caller_address, LargeChunks},
                      {&EntryProcess::lookup_address, LargeChunks},
                      {&EntryProcess::readiness_address, LargeChunks}});
}

// Guards against memory that bodies hold beside their bytes.
TEST_CASE("a large crowd sends large chunks to a VM with little memory") {
  CheckEachAddress(LargeChunks, kLittleMemory);
}

// Guards against connections that no caller can use while others hold them.
TEST_CASE("a crowd takes all connections with bodies that stop short") {
  CheckEachAddress(SmallBodyThatStopsShort, kFewDescriptors);
}

TEST_CASE("a crowd takes all connections and reads no response") {
  CheckEachAddress(RequestsAhead, kFewDescriptors);
}

}  // namespace cicadadrum::platform
