// Two entry VMs on one loop: a client, and a server whose handlers record the
// calls that they receive.

#ifndef TESTS_LIBPEER_PEER_FIXTURE_H_
#define TESTS_LIBPEER_PEER_FIXTURE_H_

#include <doctest/doctest.h>
#include <event2/event.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/peer/peer_client.h"
#include "cicadadrum/peer/peer_server.h"

namespace cicadadrum {

inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

inline PeerSettings MakeSettings(const std::string& name) {
  return {.name = name,
          .incarnation = {7, 8},
          .configuration_version = [] { return std::uint64_t{42}; },
          .now = &SteadyNow};
}

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

struct RecordedSlotRequest {
  PeerInfo peer;
  PoolKey pool;
  SlotRequest slot_request;
};

struct RecordedExecute {
  std::uint64_t call = 0;
  ForwardedRequest request;
};

// Arguments of the calls to a server's handlers.
struct RecordedCalls {
  std::vector<RecordedSlotRequest> slot_requests;
  std::vector<std::uint64_t> cancelled_slots;
  std::vector<SlotReturn> slot_returns;
  std::vector<RecordedExecute> execute_calls;
  std::vector<std::uint64_t> cancelled_executes;
  std::vector<PeerExchange> exchanges;
  std::vector<PoolKey> lease_requests;
  std::vector<LeasesReport> lease_reports;
};

inline PeerHandlers RecordingHandlers(RecordedCalls& recorded_calls) {
  PeerHandlers handlers;
  handlers.request_slot = [&recorded_calls](const PeerInfo& peer,
                                            const PoolKey& pool,
                                            const SlotRequest& slot_request) {
    recorded_calls.slot_requests.push_back({peer, pool, slot_request});
  };
  handlers.cancel_slot = [&recorded_calls](const PoolKey&, const std::string&,
                                           std::uint64_t id) {
    recorded_calls.cancelled_slots.push_back(id);
  };
  handlers.return_slot = [&recorded_calls](const PeerInfo&,
                                           const SlotReturn& returned) {
    recorded_calls.slot_returns.push_back(returned);
  };
  handlers.request_leases = [&recorded_calls](const PeerInfo&,
                                              const PoolKey& pool) {
    recorded_calls.lease_requests.push_back(pool);
  };
  handlers.report_leases = [&recorded_calls](const PeerInfo&,
                                             const LeasesReport& report) {
    recorded_calls.lease_reports.push_back(report);
  };
  handlers.execute = [&recorded_calls](std::uint64_t call, const PeerInfo&,
                                       const ForwardedRequest& request) {
    recorded_calls.execute_calls.push_back({call, request});
  };
  handlers.cancel_execute = [&recorded_calls](std::uint64_t call) {
    recorded_calls.cancelled_executes.push_back(call);
  };
  handlers.exchange = [&recorded_calls](const PeerInfo&,
                                        const PeerExchange& message) {
    recorded_calls.exchanges.push_back(message);
  };
  handlers.fetch_item = [](const PeerInfo&, const std::string& key,
                           std::uint64_t version) -> std::optional<PeerItem> {
    if (key != "configuration/current")
      return std::nullopt;
    return PeerItem{key, version, std::string("a\0b", 3)};
  };
  return handlers;
}

struct PeerFixture {
  // Each member may depend on the members declared before it.
  std::unique_ptr<event_base, EventBaseDeleter> base{event_base_new()};
  KjLoop loop{base.get()};
  RecordedCalls recorded_calls;
  std::unique_ptr<PeerServer> server = Listen(MakeSettings("owner"));
  std::string address = "127.0.0.1:" + std::to_string(server->port());
  std::unique_ptr<PeerClient> client =
      std::make_unique<PeerClient>(loop, MakeSettings("entry-1"));
  PoolKey pool{"cusco", "status-board"};

  std::unique_ptr<PeerServer> Listen(
      PeerSettings settings,
      const std::string& listen_address = "127.0.0.1:0") {
    auto listen_result =
        PeerServer::Listen(loop, listen_address, std::move(settings),
                           RecordingHandlers(recorded_calls));
    REQUIRE(listen_result);
    return std::move(*listen_result);
  }

  // Runs the loop until `condition` returns true. If that never happens, the
  // time limit of the test program ends the test.
  template <typename Condition>
  void RunUntil(Condition&& condition) {
    while (!condition())
      event_base_loop(base.get(), EVLOOP_ONCE);
  }

  // Handles the events that are ready, without waiting.
  void RunReady() {
    loop.wait_scope().poll();
    // poll() leaves the event of the KJ loop active. The handler of that event
    // has no work to do.
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }

  // Requests a slot. The result is set when the call has ended.
  std::shared_ptr<std::optional<CallResult<SlotAnswer>>> StartSlotRequest(
      std::uint64_t id,
      CallId* call = nullptr,
      Duration timeout = Seconds(60)) {
    auto result = std::make_shared<std::optional<CallResult<SlotAnswer>>>();
    SlotRequest slot_request{.entry = "entry-1",
                             .id = id,
                             .client_account = "roads",
                             .request_class = RequestClass::kUrgent,
                             .deadline = SteadyNow() + timeout,
                             .avoid = {"sb-1", "sb-2"},
                             .preferred = "sb-3",
                             .fingerprint = 11,
                             .body_bytes = 12};
    const CallId started = client->RequestSlot(
        address, pool, slot_request,
        [result](const CallResult<SlotAnswer>& ended) { *result = ended; });
    if (call != nullptr)
      *call = started;
    return result;
  }

  // Grants a slot to the slot request `id`. Returns false if the request is no
  // longer open.
  bool Grant(std::uint64_t id, std::uint64_t lease) {
    return server->RespondToSlotRequest(
        pool, SlotGrant{"entry-1", id, lease, "sb-3", "127.0.0.1:9"});
  }
};

}  // namespace cicadadrum

#endif  // TESTS_LIBPEER_PEER_FIXTURE_H_
