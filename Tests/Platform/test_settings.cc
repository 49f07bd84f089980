// Tests of the settings that describe the VM.

#include <doctest/doctest.h>
#include <stdlib.h>
#include <unistd.h>

#include <fstream>
#include <string>

#include "cicadadrum/base/error.h"
#include "settings.h"

namespace cicadadrum::platform {

namespace {

namespace leaf = boost::leaf;

// A settings file with one more line than the required ones.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& line) {
    char path[] = "/tmp/cicadadrum-settings-XXXXXX";
    const int fd = mkstemp(path);
    REQUIRE(fd >= 0);
    close(fd);
    path_ = path;
    std::ofstream(path_) << "{\"name\": \"entry-1\", \"region\": \"north\",\n"
                         << "\"failureDomain\": \"north-a\",\n"
                         << "\"callerAddress\": \"127.0.0.1:1\",\n"
                         << "\"readinessAddress\": \"127.0.0.1:2\",\n"
                         << "\"lookupAddress\": \"127.0.0.1:3\",\n"
                         << "\"peerAddress\": \"127.0.0.1:4\",\n"
                         << "\"storeAddress\": \"127.0.0.1:5\"" << line
                         << "}\n";
  }
  ~SettingsFile() { unlink(path_.c_str()); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string ErrorOf(const std::string& line) {
  const SettingsFile file(line);
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(LoadSettings(file.path()));
        return std::string();
      },
      [](const Error& error) { return error.detail; },
      [] { return std::string("unknown error"); });
}

}  // namespace

TEST_CASE("link, processor and memory of the VM are read in their units") {
  const SettingsFile file(
      ", \"linkMegabitsPerSecond\": 10, \"processorShare\": 0.2,"
      " \"processorSpeed\": 2, \"memoryMegabytes\": 160");
  const auto settings = LoadSettings(file.path());
  REQUIRE(settings);
  CHECK(settings->self.link_megabits_per_second == 10);
  CHECK(settings->self.processor_share == doctest::Approx(0.4));
  CHECK(settings->routing.link_megabits_per_second == 10);
  CHECK(settings->routing.response_memory_bytes == 40'000'000);
  CHECK(settings->caller_memory_bytes == 80'000'000);
}

TEST_CASE("the bounds of quotas are read, and have defaults") {
  const SettingsFile file(
      ", \"bounds\": {\"quotaWindowSeconds\": 2.5, \"quotaExcess\": 0.2,"
      " \"quotaSlack\": 7}");
  const auto settings = LoadSettings(file.path());
  REQUIRE(settings);
  CHECK(settings->routing.bounds.quota ==
        quota::QuotaBounds{
            .window = Milliseconds(2500), .excess = 0.2, .slack = 7});
  const SettingsFile without("");
  const auto defaults = LoadSettings(without.path());
  REQUIRE(defaults);
  CHECK(defaults->routing.bounds.quota == quota::QuotaBounds{});
  CHECK(ErrorOf(", \"bounds\": {\"quotaWindowSeconds\": 0}") != "");
  CHECK(ErrorOf(", \"bounds\": {\"quotaSlack\": -1}") != "");
}

TEST_CASE("an unknown VM has no bounds") {
  const SettingsFile file("");
  const auto settings = LoadSettings(file.path());
  REQUIRE(settings);
  CHECK(settings->self.processor_share == 0);
  CHECK(settings->routing.response_memory_bytes == 0);
}

TEST_CASE("negative sizes of the VM are refused with their key") {
  for (const std::string key : {"linkMegabitsPerSecond", "processorShare",
                                "processorSpeed", "memoryMegabytes"}) {
    CAPTURE(key);
    const std::string error = ErrorOf(", \"" + key + "\": -1");
    CHECK(error.find(key) != std::string::npos);
    CHECK(error.find("at least 0") != std::string::npos);
  }
}

// Guards against keys that are served longer than operators allow.
TEST_CASE(
    "the bound on revocations is read, or that of a configuration holds") {
  const auto bounds = [](const std::string& members) {
    const SettingsFile file(",\"bounds\": {" + members + "}");
    return leaf::try_handle_all(
        [&]() -> leaf::result<routing::FleetBounds> {
          BOOST_LEAF_AUTO(settings, LoadSettings(file.path()));
          return settings.routing.bounds;
        },
        [] { return routing::FleetBounds{.revocation_time = Seconds(-1)}; });
  };
  CHECK(!bounds("").revokes_everywhere);
  const routing::FleetBounds stated =
      bounds("\"revokeEverywhere\": true, \"revokeMilliseconds\": 2500");
  CHECK(stated.revokes_everywhere);
  CHECK(stated.revocation_time == Milliseconds(2500));
  CHECK(bounds("\"configurationMilliseconds\": 1500").revocation_time ==
        Milliseconds(1500));
}

}  // namespace cicadadrum::platform
