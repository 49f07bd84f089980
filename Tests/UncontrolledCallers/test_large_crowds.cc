// Crowds that are large for the memory of their VM, at each address that
// callers may use, against the real program.
//
// What one caller holds is small here, so only the sum over all callers can
// exceed the memory. Each crowd is sent to the address of requests and to that
// of lookups.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "crowd.h"
#include "entry_process.h"
#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

// The sanitizers need memory of their own.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kMemoryFactor = 4;
#else
constexpr std::uint64_t kMemoryFactor = 1;
#endif

// The VM, and how many callers come to it.
struct Crowding {
  double memory_megabytes = 64;
  std::uint64_t max_descriptors = 1024;
  std::size_t callers = 300;

  std::uint64_t MaxResidentBytes() const {
    return kMemoryFactor * static_cast<std::uint64_t>(memory_megabytes * 1e6);
  }
};

// The crowd wants more connections than callers may have.
constexpr Crowding kFewDescriptors{.max_descriptors = 256};
// Many callers for little memory.
constexpr Crowding kLittleMemory{.memory_megabytes = 40,
                                 .max_descriptors = 2048,
                                 .callers = 900};

// Descriptors that must stay free, for connections to servers and the store.
constexpr std::uint64_t kFreeDescriptors = 64;

// Limits of callers in the configuration.
constexpr std::size_t kHeadLimit = 16'384;
constexpr std::size_t kBodyLimit = 4'000'000;

// Bytes that one caller sends at most, if it would not end.
constexpr std::uint64_t kMaxSentBytes = 1'000'000;

// A crowd has sent all that it can if nothing was sent for this long.
constexpr Duration kQuietTime = Seconds(2);
constexpr Duration kMaxCrowdTime = Seconds(15);

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

// A store, a server and the process of an entry VM, which is ready.
struct CrowdedDeployment : Deployment {
  Crowding crowding;
  EntryProcess entry{{.store_address = store.address(),
                      .memory_megabytes = crowding.memory_megabytes,
                      .max_descriptors = crowding.max_descriptors}};
  std::uint64_t most_resident = 0;
  std::uint64_t most_descriptors = 0;

  explicit CrowdedDeployment(const Crowding& vm_and_callers)
      : crowding(vm_and_callers) {
    std::string body = ConfigurationBody(2);
    body.replace(body.find("\"limits\":"), std::string::npos,
                 "\"limits\":{\"headerBytes\":" + std::to_string(kHeadLimit) +
                     ",\"bodyBytes\":" + std::to_string(kBodyLimit) +
                     ",\"headerTimeoutMilliseconds\":2000,"
                     "\"idleTimeoutMilliseconds\":4000}}");
    store.Put("op", "config", body);
    store.Put("servers", "s-two", server_two.Row("ready"));
    REQUIRE(WaitUntil([this] {
      return IsOk(entry.readiness_address(), {.target = "/readiness"});
    }));
    REQUIRE(IsServed());
  }

  bool IsOk(const std::string& address, const HttpRequest& request) {
    const auto [outcome, response] = Call(address, request);
    return outcome == HttpOutcome::kAnswered && response.status == 200;
  }

  // Sends an ordinary request, or lookup, until it is answered.
  bool IsAnswered(const std::string& address, HttpRequest request) {
    request.fresh_connection = true;
    bool is_answered = false;
    return WaitUntil([&] {
      is_answered = is_answered || IsOk(address, request);
      return is_answered;
    });
  }

  bool IsServed() {
    return IsAnswered(
               entry.lookup_address(),
               {.target = "/resolve?name=host&region=north&zone=north-a"}) &&
           IsAnswered(entry.caller_address(), Request("/read/a", "ordinary"));
  }

  void Measure() {
    most_resident = std::max(most_resident, entry.ResidentBytes());
    most_descriptors = std::max(most_descriptors, entry.OpenDescriptors());
  }

  // Lets the crowds send all that they can.
  void Send(std::vector<std::unique_ptr<Crowd>>& crowds) {
    TimePoint last_sent = loop.Now();
    WaitUntil(
        [&] {
          for (const auto& crowd : crowds) {
            if (crowd->Send())
              last_sent = loop.Now();
          }
          Measure();
          return !entry.IsAlive() || loop.Now() > last_sent + kQuietTime;
        },
        kMaxCrowdTime);
  }
};

using ScriptMaker = CallerScript (*)();

// The callers of one address, which all do the same.
struct CrowdAt {
  const std::string& (EntryProcess::*address)() const;
  ScriptMaker make_script;
};

void CheckCrowdsAt(const std::vector<CrowdAt>& crowds_at,
                   const Crowding& crowding = {}) {
  CrowdedDeployment deployment(crowding);
  EntryProcess& entry = deployment.entry;
  {
    std::vector<std::unique_ptr<Crowd>> crowds;
    crowds.reserve(crowds_at.size());
    for (const CrowdAt& crowd : crowds_at)
      crowds.push_back(std::make_unique<Crowd>(
          (entry.*crowd.address)(),
          std::vector<CallerScript>(crowding.callers / crowds_at.size(),
                                    crowd.make_script())));
    deployment.Send(crowds);
    REQUIRE(entry.IsAlive());
    // The crowd is still connected.
    CHECK(deployment.IsServed());
    deployment.Measure();
  }
  REQUIRE(entry.IsAlive());
  CHECK(deployment.IsServed());
  deployment.Measure();
  MESSAGE("resident bytes at most ", deployment.most_resident,
          "; descriptors at most ", deployment.most_descriptors);
  CHECK(deployment.most_resident < crowding.MaxResidentBytes());
  CHECK(deployment.most_descriptors <=
        crowding.max_descriptors - kFreeDescriptors);
}

void CheckCrowds(ScriptMaker make_script, const Crowding& crowding = {}) {
  SUBCASE("at the address of requests") {
    CheckCrowdsAt({{&EntryProcess::caller_address, make_script}}, crowding);
  }
  SUBCASE("at the address of lookups") {
    CheckCrowdsAt({{&EntryProcess::lookup_address, make_script}}, crowding);
  }
}

}  // namespace

TEST_CASE("a large crowd sends heads without end") {
  CheckCrowds(EndlessHead);
}

TEST_CASE("a large crowd sends empty lines without end") {
  CheckCrowds(EmptyLines);
}

TEST_CASE("a large crowd sends heads that stop short of their end") {
  CheckCrowds(HeadThatStopsShort);
}

TEST_CASE("a large crowd sends whole bodies") {
  CheckCrowds(WholeBodies);
}

TEST_CASE("a large crowd sends bodies that stop short of their end") {
  CheckCrowds(BodyThatStopsShort);
}

TEST_CASE("a large crowd sends small bodies that stop short of their end") {
  CheckCrowds(SmallBodyThatStopsShort);
}

TEST_CASE("a large crowd sends large chunks") {
  CheckCrowds(LargeChunks);
}

TEST_CASE("a large crowd sends small chunks") {
  CheckCrowds(SmallChunks);
}

TEST_CASE("a large crowd sends chunks of one byte") {
  CheckCrowds(OneByteChunks);
}

TEST_CASE("a large crowd sends chunk extensions without end") {
  CheckCrowds(ChunkExtensions);
}

TEST_CASE("a large crowd sends trailers without end") {
  CheckCrowds(Trailers);
}

TEST_CASE("a large crowd sends requests ahead and reads no response") {
  CheckCrowds(RequestsAhead);
}

TEST_CASE("a large crowd sends many short parameters") {
  CheckCrowds(ManyParameters);
}

TEST_CASE("a large crowd sends many parameters with values") {
  CheckCrowds(ManyValues);
}

TEST_CASE("a large crowd sends many short fields before a body") {
  CheckCrowds(ManyFields);
}

TEST_CASE("a large crowd sends many short fields at once") {
  CheckCrowds(ManyFieldsOfRequests);
}

// Guards against memory that each address has for itself.
TEST_CASE("large crowds come to all addresses at once") {
  CheckCrowdsAt({{&EntryProcess::caller_address, LargeChunks},
                 {&EntryProcess::lookup_address, LargeChunks},
                 {&EntryProcess::readiness_address, LargeChunks}});
}

// Guards against memory that bodies hold beside their bytes.
TEST_CASE("a large crowd sends large chunks to a VM with little memory") {
  CheckCrowds(LargeChunks, kLittleMemory);
}

// Guards against connections that no caller can use while others hold them.
TEST_CASE("a crowd takes all connections with bodies that stop short") {
  CheckCrowds(SmallBodyThatStopsShort, kFewDescriptors);
}

TEST_CASE("a crowd takes all connections and reads no response") {
  CheckCrowds(RequestsAhead, kFewDescriptors);
}

}  // namespace cicadadrum::platform
