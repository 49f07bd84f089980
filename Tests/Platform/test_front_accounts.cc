// End-to-end tests of requests with keys of client accounts.

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <memory>

#include "front_fixture.h"

namespace cicadadrum::platform {

namespace {

// Shorter than the hold time of a restored table, 1.7 s.
constexpr Duration kRevocationTime = Milliseconds(1500);

// Returns a configuration in which `keys` are those of the account "one".
std::string BodyWithKeys(std::uint64_t version, const std::string& keys) {
  std::string body = ConfigurationBody(version);
  body.insert(
      body.size() - 1,
      ",\"clientAccounts\":[{\"name\":\"one\",\"keys\":[" + keys + "]}]");
  return body;
}

HttpRequest RequestWithKey(const std::string& key) {
  HttpRequest request = Request("/read/a", "r");
  request.headers.emplace_back(kAuthorization, "Bearer " + key);
  request.headers.emplace_back(kAccount, "forged");
  return request;
}

// A deployment whose configuration has accounts and whose settings bound
// revocations. The first entry VM writes its log to a temporary file.
struct AccountsDeployment : Deployment {
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file{std::tmpfile(),
                                                       &std::fclose};
  Settings settings = MakeRevokingSettings("entry-1");
  std::optional<Front> front;

  AccountsDeployment() {
    store.Put("op", "config", BodyWithKeys(2, "\"secret-1\",\"secret-2\""));
    settings.log_lines_per_second = 1000;
    settings.log_descriptor = fileno(file.get());
    front.emplace(loop, kj_loop, settings, Incarnation{.high = 1, .low = 1});
    REQUIRE(front->Start());
    REQUIRE(WaitUntil([this] { return IsReady(settings); }));
  }

  Settings MakeRevokingSettings(const std::string& name) {
    Settings made = MakeSettings(name);
    made.routing.bounds.revokes_everywhere = true;
    made.routing.bounds.revocation_time = kRevocationTime;
    return made;
  }

  HttpResponse Send(const Settings& entry, const std::string& key) {
    return Call(entry.self.caller_address, RequestWithKey(key)).second;
  }

  bool WaitForStatus(const std::string& key, std::uint16_t status) {
    return WaitUntil([&] { return Send(settings, key).status == status; });
  }

  std::string Log() const {
    std::string text(std::size_t{1} << 20, '\0');
    const ssize_t size =
        pread(fileno(file.get()), text.data(), text.size(), /*offset=*/0);
    REQUIRE(size >= 0);
    text.resize(static_cast<std::size_t>(size));
    return text;
  }
};

}  // namespace

// Guards against a key that reaches a server or the log, and against a revoked
// key that is still served.
TEST_CASE("a request runs as the account of its key until that is revoked") {
  AccountsDeployment entry;
  REQUIRE(entry.WaitForStatus("secret-1", 200));
  const HttpFields& received = entry.server_one.requests().back().headers;
  CHECK(FindField(received, kAuthorization).empty());
  CHECK(FindField(received, kAccount) == "one");
  CHECK(entry.WaitForStatus("secret-3", 401));
  entry.store.Put("op", "config", BodyWithKeys(3, "\"secret-2\""));
  CHECK(entry.WaitForStatus("secret-1", 401));
  CHECK(entry.WaitForStatus("secret-2", 200));
  const std::string metrics =
      entry.Call(entry.settings.metrics_address, {.target = "/metrics"})
          .second.body;
  for (const std::string line :
       {"cicadadrum_client_accounts 1", "cicadadrum_client_keys 1",
        "cicadadrum_key_changes_total{change=\"revoked\"} 1"}) {
    CAPTURE(line);
    CHECK(metrics.find("\n" + line + "\n") != std::string::npos);
  }
  const std::string log = entry.Log();
  CHECK(log.find("\"account\":\"one\"") != std::string::npos);
  CHECK(log.find("\"keys_revoked\":1") != std::string::npos);
  CHECK(log.find("secret") == std::string::npos);
  CHECK(metrics.find("secret") == std::string::npos);
}

// Guards against keys that are served at entry VMs which can't learn of a
// revocation: one without the store, and one that has just started and has its
// configuration from a peer.
TEST_CASE("keys are refused as not run where nothing confirms them") {
  AccountsDeployment entry;
  REQUIRE(entry.WaitForStatus("secret-1", 200));
  entry.store.SetBehaviour(StoreBehaviour::kRefuses);
  const TimePoint cut = entry.loop.Now();
  TimePoint last_served = cut;
  REQUIRE(entry.WaitUntil([&] {
    const TimePoint sent_at = entry.loop.Now();
    const std::uint16_t status = entry.Send(entry.settings, "secret-1").status;
    if (status == 200)
      last_served = sent_at;
    return status == 503;
  }));
  CHECK(last_served - cut < kRevocationTime);
  const HttpResponse refused = entry.Send(entry.settings, "secret-1");
  CHECK(refused.body == "configuration-outdated\n");
  CHECK(!FindField(refused.headers, kRetryAfter).empty());
  const Settings restarted = entry.MakeRevokingSettings("entry-2");
  Front front(entry.loop, entry.kj_loop, restarted, {.high = 2, .low = 2});
  REQUIRE(front.Start());
  REQUIRE(entry.WaitUntil([&] { return entry.IsReady(restarted); }));
  CHECK(entry.Send(restarted, "secret-1").status == 503);
  entry.store.SetBehaviour(StoreBehaviour::kAnswers);
  CHECK(entry.WaitUntil(
      [&] { return entry.Send(restarted, "secret-1").status == 200; }));
}

// Guards against ages of confirmations that are lost between entry VMs.
TEST_CASE("an entry VM without the store serves keys that its peer confirms") {
  AccountsDeployment entry;
  Settings settings = entry.MakeRevokingSettings("entry-2");
  StoreStandIn refusing(entry.loop);
  refusing.SetBehaviour(StoreBehaviour::kRefuses);
  settings.store_address = refusing.address();
  Front front(entry.loop, entry.kj_loop, settings, {.high = 2, .low = 2});
  REQUIRE(front.Start());
  const auto has_status = [&](std::uint16_t status) {
    return entry.WaitUntil(
        [&] { return entry.Send(settings, "secret-1").status == status; });
  };
  REQUIRE(has_status(200));
  const TimePoint after_bound = entry.loop.Now() + kRevocationTime;
  REQUIRE(entry.WaitUntil([&] { return entry.loop.Now() >= after_bound; }));
  CHECK(has_status(200));
  entry.store.Put("op", "config", BodyWithKeys(3, "\"secret-2\""));
  CHECK(has_status(401));
}

// Guards against keys of a configuration that the store has replaced by one
// that can't be read, or by another one of the same version.
TEST_CASE("a configuration that is not in force ends the confirmations") {
  for (const std::string& body : {std::string("{\"version\":3,\"routes\":1}"),
                                  BodyWithKeys(2, "\"secret-2\"")}) {
    CAPTURE(body);
    AccountsDeployment entry;
    REQUIRE(entry.WaitForStatus("secret-1", 200));
    entry.store.Put("op", "config", body);
    CHECK(entry.WaitForStatus("secret-1", 503));
    entry.store.Put("op", "config", BodyWithKeys(4, "\"secret-2\""));
    CHECK(entry.WaitForStatus("secret-1", 401));
  }
}

// Guards against a revoked key that the older copy of a store confirms.
TEST_CASE("a restored store confirms no keys until it has settled") {
  AccountsDeployment entry;
  REQUIRE(entry.WaitForStatus("secret-1", 200));
  entry.store.Put("servers", "s-two", entry.server_two.Row("draining"));
  entry.store.Restore(entry.store.version() - 1);
  REQUIRE(entry.WaitForStatus("secret-1", 503));
  REQUIRE(entry.WaitForStatus("secret-1", 200));
}

}  // namespace cicadadrum::platform
