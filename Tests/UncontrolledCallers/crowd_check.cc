// Plays crowds against the real program and measures what it holds.

#include "crowd_check.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

// The sanitizers need memory of their own.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kMemoryFactor = 4;
#elif defined(__has_feature)
#if __has_feature(address_sanitizer)
constexpr std::uint64_t kMemoryFactor = 4;
#else
constexpr std::uint64_t kMemoryFactor = 1;
#endif
#else
constexpr std::uint64_t kMemoryFactor = 1;
#endif

// A crowd has sent all that it can if nothing was sent for this long.
// A connection attempt that the kernel dropped is repeated after a second.
constexpr Duration kQuietTime = Seconds(2);
constexpr Duration kMaxCrowdTime = Seconds(15);

std::string LimitedConfiguration(const CrowdLimits& limits) {
  std::string body = ConfigurationBody(2);
  return body.replace(
      body.find("\"limits\":"), std::string::npos,
      "\"limits\":{\"headerBytes\":" + std::to_string(limits.header_bytes) +
          ",\"bodyBytes\":" + std::to_string(limits.body_bytes) +
          ",\"headerTimeoutMilliseconds\":" +
          std::to_string(limits.header_timeout_ms) +
          ",\"idleTimeoutMilliseconds\":" +
          std::to_string(limits.idle_timeout_ms) + "}}");
}

// A store, a server and the process of an entry VM, which is ready.
struct CrowdedDeployment : Deployment {
  CrowdLimits limits;
  EntryProcess entry{{.store_address = store.address(),
                      .memory_megabytes = limits.memory_megabytes,
                      .max_descriptors = limits.max_descriptors}};
  std::uint64_t most_resident = 0;
  std::uint64_t most_descriptors = 0;

  explicit CrowdedDeployment(const CrowdLimits& vm_limits) : limits(vm_limits) {
    store.Put("op", "config", LimitedConfiguration(limits));
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

  // Sends an ordinary request, or lookup, until it is answered, as callers do
  // whose requests are refused as not run.
  bool IsAnswered(const std::string& address, HttpRequest request) {
    request.fresh_connection = true;
    bool is_answered = false;
    return WaitUntil([&] {
      is_answered = is_answered || IsOk(address, request);
      return is_answered;
    });
  }

  bool IsServed() {
    const bool is_served =
        IsAnswered(
            entry.lookup_address(),
            {.target = "/resolve?name=host&region=north&zone=north-a"}) &&
        IsAnswered(entry.caller_address(), Request("/read/a", "ordinary"));
    Measure();
    return is_served;
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

}  // namespace

void CheckCrowds(const CrowdLimits& limits, std::vector<CrowdAt> crowds_at) {
  CrowdedDeployment deployment(limits);
  EntryProcess& entry = deployment.entry;
  {
    std::vector<std::unique_ptr<Crowd>> crowds;
    crowds.reserve(crowds_at.size());
    for (CrowdAt& crowd : crowds_at)
      crowds.push_back(std::make_unique<Crowd>((entry.*crowd.address)(),
                                               std::move(crowd.scripts)));
    deployment.Send(crowds);
    REQUIRE(entry.IsAlive());
    // The crowds are still connected.
    CHECK(deployment.IsServed());
  }
  REQUIRE(entry.IsAlive());
  CHECK(deployment.IsServed());
  MESSAGE("resident bytes at most ", deployment.most_resident,
          "; descriptors at most ", deployment.most_descriptors);
  CHECK(deployment.most_resident <
        kMemoryFactor *
            static_cast<std::uint64_t>(limits.memory_megabytes * 1e6));
  CHECK(deployment.most_descriptors <=
        limits.max_descriptors - limits.free_descriptors);
}

}  // namespace cicadadrum::platform
