// Tests of KJ promises on a libevent loop.

#include <doctest/doctest.h>
#include <event2/event.h>

#include <memory>

#include "cicadadrum/loop/kj_event_port.h"

namespace cicadadrum {

namespace {

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

struct Fixture {
  std::unique_ptr<event_base, EventBaseDeleter> base{event_base_new()};
  KjLoop loop{base.get()};

  int RunOnce() { return event_base_loop(base.get(), EVLOOP_ONCE); }

  // Calls `function` from a libevent timer.
  template <typename Function>
  void CallFromTimer(Function& function, timeval delay) {
    event_base_once(
        base.get(), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* context) {
          (*static_cast<Function*>(context))();
        },
        &function, &delay);
  }
};

// Returns a promise that is never fulfilled and always has more work.
kj::Promise<void> WorkForever(std::uint64_t& turns) {
  return kj::evalLater([&turns] {
    ++turns;
    return WorkForever(turns);
  });
}

}  // namespace

// Guards against KJ work that the libevent loop never runs.
TEST_CASE("the libevent loop runs promises until no work remains") {
  Fixture fixture;
  int steps = 0;
  auto promise = kj::evalLater([&] {
                   ++steps;
                 }).then([&] {
                     return kj::evalLater([&] { ++steps; });
                   }).eagerlyEvaluate(nullptr);
  CHECK(fixture.RunOnce() == 0);
  CHECK(steps == 2);
}

// Guards against a busy loop: the process must sleep while all promises are
// pending.
TEST_CASE("an idle KJ loop causes no wake-ups") {
  Fixture fixture;
  auto paf = kj::newPromiseAndFulfiller<void>();
  auto waiting = paf.promise.then([] {}).eagerlyEvaluate(nullptr);
  fixture.loop.wait_scope().poll();
  CHECK(event_base_get_num_events(fixture.base.get(),
                                  EVENT_BASE_COUNT_ACTIVE) == 0);
  int fired = 0;
  auto fire = [&] { ++fired; };
  fixture.CallFromTimer(fire, {0, 20'000});
  int iterations = 0;
  while (fired == 0) {
    fixture.RunOnce();
    ++iterations;
  }
  CHECK(iterations == 1);
}

// Guards against a wait() that misses a libevent event.
TEST_CASE("wait returns when a libevent callback fulfils the promise") {
  Fixture fixture;
  auto paf = kj::newPromiseAndFulfiller<int>();
  auto fulfil = [&] { paf.fulfiller->fulfill(3); };
  fixture.CallFromTimer(fulfil, {0, 0});
  CHECK(paf.promise.wait(fixture.loop.wait_scope()) == 3);
}

// Guards against work that is never run because wait() consumed the event that
// was scheduled for the work.
TEST_CASE("libevent runs the work that remains when wait returns") {
  Fixture fixture;
  bool other_done = false;
  auto paf = kj::newPromiseAndFulfiller<void>();
  auto other = kj::evalLater([] {})
                   .then([] { return kj::evalLater([] {}); })
                   .then([] { return kj::evalLater([] {}); })
                   .then([&] { other_done = true; })
                   .eagerlyEvaluate(nullptr);
  auto fulfil = [&] { paf.fulfiller->fulfill(); };
  fixture.CallFromTimer(fulfil, {0, 0});
  kj::evalLater([] {}).wait(fixture.loop.wait_scope());
  CHECK_FALSE(other_done);
  while (!other_done)
    fixture.RunOnce();
  paf.promise.wait(fixture.loop.wait_scope());
}

// Guards against promises that starve sockets and timers.
TEST_CASE("promises with endless work do not starve libevent events") {
  Fixture fixture;
  std::uint64_t turns = 0;
  auto endless = WorkForever(turns).eagerlyEvaluate(nullptr);
  int fired = 0;
  auto fire = [&] { ++fired; };
  fixture.CallFromTimer(fire, {0, 0});
  for (int i = 0; i < 100 && fired == 0; ++i)
    fixture.RunOnce();
  CHECK(fired == 1);
  CHECK(turns > 0);
}

}  // namespace cicadadrum
