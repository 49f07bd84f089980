// Tests that a restored store behaves as one that comes back from a copy, so
// that the soak test shows what entry VMs make of it.

#include <doctest/doctest.h>

#include <optional>

#include "stand_ins.h"

namespace cicadadrum::platform {

namespace {

constexpr Duration kTimeout = Seconds(5);
// Time from a change to the copy, and from the copy to the next change.
constexpr Duration kPause = Milliseconds(20);

struct Store {
  EventLoop loop;
  StoreStandIn store{loop};
  HttpClient client{loop, {}};
  std::optional<HttpResponse> response;

  void Wait(Duration duration) {
    Timer timer(loop, [this] { loop.Stop(); });
    timer.Schedule(loop.Now() + duration);
    loop.Run();
  }

  // Returns the time of a copy of the present rows.
  TimePoint Copy() {
    Wait(kPause);
    const TimePoint copied_at = loop.Now();
    Wait(kPause);
    return copied_at;
  }

  void Send(const std::string& target) {
    response.reset();
    client.Send(store.address(), {.target = target}, loop.Now() + kTimeout,
                [this](HttpOutcome outcome, HttpResponse received) {
                  if (outcome == HttpOutcome::kAnswered)
                    response = std::move(received);
                  loop.Stop();
                });
  }

  HttpResponse Get(const std::string& target) {
    Send(target);
    loop.Run();
    REQUIRE(response);
    return *response;
  }
};

}  // namespace

TEST_CASE("a restored store forgets later rows and gives versions out again") {
  Store store;
  store.store.Put("op", "a", "old");
  const TimePoint copied_at = store.Copy();
  store.store.Put("op", "a", "new");
  store.store.Put("op", "b", "new");
  const HttpResponse before = store.Get("/rows-get?table=op");
  CHECK(FindField(before.headers, "Store-Era") == "1");
  CHECK(before.body.find("\"rowVersion\":3,\"now_ms\"") != std::string::npos);
  store.store.Restore(store.store.VersionAt(copied_at));
  const HttpResponse restored = store.Get("/rows-get?table=op");
  CHECK(FindField(restored.headers, "Store-Era") == "2");
  CHECK(restored.body.find("\"rowVersion\":1,\"now_ms\"") != std::string::npos);
  CHECK(restored.body.find("\"key\":\"b\"") == std::string::npos);
  store.store.Put("op", "c", "other");
  const HttpResponse feed = store.Get("/rows-feed?table=op&after=1&wait_ms=10");
  CHECK(feed.body.find("\"key\":\"c\"") != std::string::npos);
  CHECK(feed.body.find("\"key\":\"b\"") == std::string::npos);
  CHECK(feed.body.find("],\"rowVersion\":2}") != std::string::npos);
}

TEST_CASE("the feed of a restored store refuses versions that are not known") {
  Store store;
  store.store.Put("op", "a", "old");
  const TimePoint copied_at = store.Copy();
  store.store.Put("op", "a", "new");
  store.Send("/rows-feed?table=op&after=2&wait_ms=4000");
  store.Wait(kPause);
  CHECK(!store.response);
  store.store.Restore(store.store.VersionAt(copied_at));
  store.loop.Run();
  REQUIRE(store.response);
  CHECK(store.response->status == 410);
  CHECK(FindField(store.response->headers, "Store-Era") == "2");
  CHECK(store.Get("/rows-feed?table=op&after=2&wait_ms=10").status == 410);
  CHECK(store.Get("/rows-feed?table=op&after=1&wait_ms=10").status == 200);
}

}  // namespace cicadadrum::platform
