// Tests of StoreClient against the fake platform, with one event loop over the
// loopback interface.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <boost/leaf/handle_errors.hpp>

#include "cicadadrum/base/error.h"
#include "cicadadrum/fake_platform/fake_platform.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/store/store_client.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;

struct Fixture {
  EventLoop loop;
  std::unique_ptr<FakePlatform> platform = leaf::try_handle_all(
      [&] { return FakePlatform::Create(loop.base(), {.vm_list_lag = {}}); },
      [] { return std::unique_ptr<FakePlatform>(); });
  StoreSettings settings{.address = platform->Address(),
                         .token_prefix = "test"};
  StoreClient client{loop, settings};

  // Runs the event loop until `done` is true, for at most 10 seconds.
  void RunUntil(const bool& done) {
    const timeval bound = {10, 0};
    event_base_loopexit(loop.base(), &bound);
    while (!done && !event_base_got_exit(loop.base()))
      event_base_loop(loop.base(), EVLOOP_ONCE);
    REQUIRE(done);
  }

  // Runs a call to its end and returns its value. If the call fails, returns
  // nothing and sets `error`.
  template <typename T, typename Start>
  std::optional<T> Call(Start start) {
    std::optional<T> value;
    bool done = false;
    start([&](leaf::result<T> result) {
      done = true;
      leaf::try_handle_all(
          [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(value, std::move(result));
            return {};
          },
          [&](const Error& found) { error = found.code; }, [] {});
    });
    RunUntil(done);
    return value;
  }

  std::optional<TransactionAnswer> Transact(const Transaction& transaction,
                                            Duration timeout = Seconds(5)) {
    return Call<TransactionAnswer>(
        [&](auto done) { client.Transact(transaction, timeout, done); });
  }

  ClaimWriteCompleted WriteClaimBatch(const WriteClaims& write) {
    ClaimWriteCompleted answered;
    bool done = false;
    client.InsertClaims(write, Seconds(5),
                        [&](const ClaimWriteCompleted& answer) {
                          answered = answer;
                          done = true;
                        });
    RunUntil(done);
    return answered;
  }

  std::optional<ErrorCode> error;
};

}  // namespace

// Guards against encodings that the client and the platform read differently.
TEST_CASE(
    "rows, objects and the VM list keep their content in both directions") {
  Fixture fixture;
  const std::string key = "a/b c&d=\xc3\xb1";
  const auto written = fixture.Transact({.writes = {{key, "v\"1", true, 0}}});
  REQUIRE(written);
  CHECK(written->committed);
  const Row expected{key, "v\"1", 1};
  CHECK(fixture.Call<Row>([&](auto done) {
    fixture.client.ReadRow(key, Seconds(5), done);
  }) == expected);
  CHECK(fixture.Call<std::vector<Row>>([&](auto done) {
    fixture.client.Scan("a/", Seconds(5), done);
  }) == std::vector<Row>{expected});
  bool put = false;
  fixture.client.PutObject(
      "x/y", std::string("\0z", 2), Seconds(5),
      [&](leaf::result<void> result) { put = static_cast<bool>(result); });
  fixture.RunUntil(put);
  CHECK(fixture.platform->State().objects["x/y"] == std::string("\0z", 2));
  using Object = std::optional<std::string>;
  CHECK(*fixture.Call<Object>([&](auto done) {
    fixture.client.GetObject("none", Seconds(5), done);
  }) == std::nullopt);
  ApplyControl(fixture.platform->State(),
               {.set_vms = true, .vms = {{.name = "sb-1", .leaving = true}}},
               TimePoint());
  const auto vms = fixture.Call<std::vector<BackendServer>>(
      [&](auto done) { fixture.client.ListVms(Seconds(5), done); });
  REQUIRE(vms->size() == 1);
  CHECK(vms->front().leaving);
}

// Guards against failing all claims of a batch because the row of one claim
// exists, and against losing an inserted claim if the response is lost.
TEST_CASE("claims of one batch are independent and survive a lost response") {
  Fixture fixture;
  const ClaimRow first{.holder = "entry-1", .incarnation = {1, 1}, .claim = 5};
  const ClaimRow second{.holder = "entry-2", .incarnation = {2, 2}, .claim = 6};
  fixture.WriteClaimBatch({1, {{"k1", first}}});
  ApplyControl(fixture.platform->State(),
               {.mode = PlatformMode::kDropResponse, .requests = 1},
               TimePoint());
  const ClaimWriteCompleted answered =
      fixture.WriteClaimBatch({1, {{"k1", second}, {"k2", second}}});
  REQUIRE(answered.results.size() == 2);
  CHECK(answered.results[0].outcome == ClaimWriteOutcome::kExists);
  CHECK(answered.results[0].row == first);
  CHECK(answered.results[1].outcome == ClaimWriteOutcome::kInserted);
  CHECK(fixture.platform->State().writes == 3);
  CHECK(fixture.platform->State().rows_written == 2);
}

// Guards against reporting kUnavailable for a write that took effect, and
// against reporting kUncertain for a write that cannot have taken effect.
TEST_CASE(
    "errors distinguish a failed write from one that may have taken effect") {
  Fixture fixture;
  ApplyControl(fixture.platform->State(), {.mode = PlatformMode::kDown},
               TimePoint());
  CHECK(!fixture.Transact({.writes = {{"a", "1"}}}));
  CHECK(fixture.error == ErrorCode::kUnavailable);
  Fixture losing_responses;
  ApplyControl(losing_responses.platform->State(),
               {.mode = PlatformMode::kDropResponse}, TimePoint());
  CHECK(!losing_responses.Transact({.writes = {{"a", "1"}}}));
  CHECK(losing_responses.error == ErrorCode::kUncertain);
  CHECK(losing_responses.platform->State().rows_written == 1);
  Fixture slow;
  ApplyControl(slow.platform->State(),
               {.mode = PlatformMode::kSlow, .delay = Seconds(60)},
               TimePoint());
  CHECK(!slow.Transact({.writes = {{"a", "1"}}}, Milliseconds(20)));
  CHECK(slow.error == ErrorCode::kUncertain);
  Fixture stopped;
  stopped.platform.reset();
  CHECK(!stopped.Transact({.writes = {{"a", "1"}}}));
  CHECK(stopped.error == ErrorCode::kUnavailable);
}

// Guards against using a separate transaction for each row write.
TEST_CASE("waiting row writes share one transaction") {
  Fixture fixture;
  int written = 0;
  bool done = false;
  for (int i = 0; i < 20; ++i) {
    fixture.client.WriteRow({.key = "r" + std::to_string(i), .value = "v"},
                            Seconds(5),
                            [&](leaf::result<RowWriteResult> result) {
                              written += result && result->written ? 1 : 0;
                              done = written == 20;
                            });
  }
  fixture.RunUntil(done);
  CHECK(fixture.platform->State().writes == 2);
}

// Guards against opening a connection for each request, and against more than
// max_connections connections.
TEST_CASE("connections are reused and their number is bounded") {
  Fixture fixture;
  for (int round = 0; round < 2; ++round) {
    int answers = 0;
    bool done = false;
    for (int i = 0; i < 15; ++i) {
      fixture.client.ReadRow("a", Seconds(5), [&](leaf::result<Row> result) {
        answers += result ? 1 : 0;
        done = answers == 15;
      });
    }
    fixture.RunUntil(done);
  }
  CHECK(fixture.platform->State().caller_addresses.size() ==
        fixture.settings.max_connections);
}

// Guards against ignoring a misspelt settings key.
TEST_CASE("platform settings allow comments and reject unknown keys") {
  const auto parse = [](const std::string& json) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_AUTO(settings, ParsePlatformSettings(json));
          return settings.listen;
        },
        [](const Error& error) { return std::string(NameOf(error.code)); },
        [] { return std::string(); });
  };
  CHECK(parse("{\"listen\": \"127.0.0.1:9\" /* free */ }") == "127.0.0.1:9");
  CHECK(parse("{\"listn\": \"127.0.0.1:9\"}") == "invalid-settings");
}

}  // namespace cicadadrum
