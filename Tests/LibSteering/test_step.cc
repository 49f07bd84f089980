// Tests of the request core with one entry VM, which owns its pools unless a
// test adds another entry VM.

#include <doctest/doctest.h>

#include <algorithm>

#include "cicadadrum/steering/entry_state.h"

namespace cicadadrum {

namespace {

template <typename T>
const T* FindAction(const Actions& actions) {
  for (const Action& action : actions) {
    if (const T* found = std::get_if<T>(&action))
      return found;
  }
  return nullptr;
}

struct Fixture {
  EntryState state =
      MakeEntryState({}, {.name = "entry-1", .region = "cusco"}, {1, 2}, 1);
  TimePoint now{Seconds(1)};

  Fixture() {
    Run(ConfigurationAdopted{
        {.version = 1,
         .client_accounts = {{"roads", "gold"}},
         .plans = {{.name = "gold",
                    .services = {"status-board"},
                    .classes = {RequestClass::kUrgent, RequestClass::kWrite},
                    .regions = {"cusco"}}}}});
    Run(ServersChanged{{{.name = "sb-1",
                         .service = "status-board",
                         .region = "cusco",
                         .address = "127.0.0.1:1",
                         .slots = 3},
                        {.name = "sb-2",
                         .service = "status-board",
                         .region = "cusco",
                         .address = "127.0.0.1:2",
                         .slots = 3}}});
  }

  Actions Run(const Event& event) {
    Actions actions;
    Step(state, event, now, actions);
    return actions;
  }

  Actions Arrive(std::uint64_t id,
                 RequestClass request_class,
                 const std::string& key = "") {
    return Run(RequestArrived{.request = id,
                              .client_account = "roads",
                              .service = "status-board",
                              .request_class = request_class,
                              .key = key,
                              .deadline = now + Seconds(5)});
  }
};

}  // namespace

// Guards against the response of a cancelled attempt that reaches the caller
// (I3).
TEST_CASE("the response of an earlier attempt is discarded") {
  Fixture fixture;
  fixture.state.retry_budget.tokens = 5;
  fixture.Arrive(1, RequestClass::kUrgent);
  const Actions retried =
      fixture.Run(BackendFailed{1, 1, AttemptOutcome::kConnectionLost});
  REQUIRE(FindAction<SendToBackend>(retried) != nullptr);
  CHECK(FindAction<SendToBackend>(retried)->attempt == 2);
  CHECK(FindAction<AnswerCaller>(fixture.Run(
            BackendResponded{1, 1, AttemptOutcome::kAnswered, {}})) == nullptr);
  const Actions answered =
      fixture.Run(BackendResponded{1, 2, AttemptOutcome::kAnswered, {}});
  REQUIRE(FindAction<AnswerCaller>(answered) != nullptr);
  CHECK(FindAction<AnswerCaller>(answered)->attempt == 2);
}

// Guards against a second execution of a non-idempotent request whose
// connection was lost (I5).
TEST_CASE(
    "a write on a lost connection is not sent again or reported as not run") {
  Fixture fixture;
  fixture.state.retry_budget.tokens = 5;
  const Actions claim = fixture.Arrive(1, RequestClass::kWrite, "k1");
  REQUIRE(FindAction<WriteClaims>(claim) != nullptr);
  CHECK(FindAction<SendToBackend>(claim) == nullptr);
  const Actions sent = fixture.Run(
      ClaimWriteCompleted{1, {{"k1", ClaimWriteOutcome::kInserted, {}}}});
  REQUIRE(FindAction<SendToBackend>(sent) != nullptr);
  const Actions ended =
      fixture.Run(BackendFailed{1, 1, AttemptOutcome::kConnectionLost});
  CHECK(FindAction<SendToBackend>(ended) == nullptr);
  REQUIRE(FindAction<AnswerCaller>(ended) != nullptr);
  CHECK(FindAction<AnswerCaller>(ended)->verdict == Verdict::kMayHaveRun);
}

// Guards against the loss of a response whose caller disconnected and repeated
// the request.
TEST_CASE(
    "a repeated write receives the response after its caller disconnected") {
  Fixture fixture;
  fixture.Arrive(1, RequestClass::kWrite, "k1");
  fixture.Run(
      ClaimWriteCompleted{1, {{"k1", ClaimWriteOutcome::kInserted, {}}}});
  CHECK(FindAction<CancelAtBackend>(fixture.Run(CallerDisconnected{1})) ==
        nullptr);
  fixture.Arrive(2, RequestClass::kWrite, "k1");
  const Actions answered = fixture.Run(
      BackendResponded{1, 1, AttemptOutcome::kAnswered, {.status = 201}});
  std::size_t stored = 0;
  for (const Action& action : answered) {
    const auto* answer = std::get_if<AnswerCaller>(&action);
    if (answer != nullptr && answer->request == 2 &&
        answer->source == AnswerSource::kStored && answer->stored.status == 201)
      ++stored;
  }
  CHECK(stored == 1);
}

// Guards against a refusal by the request core while the claim of the request
// may be used: only LibClaim knows the verdict.
TEST_CASE("a write that waits for a claim is refused once at its deadline") {
  Fixture fixture;
  fixture.Arrive(1, RequestClass::kWrite, "k1");
  fixture.now += Seconds(5);
  const Actions expired = fixture.Run(TimerExpired{});
  REQUIRE(FindAction<AnswerCaller>(expired) != nullptr);
  CHECK(FindAction<AnswerCaller>(expired)->verdict == Verdict::kNotRun);
  CHECK(fixture.state.requests.empty());
  const Actions after_deadline = fixture.Run(
      ClaimWriteCompleted{1, {{"k1", ClaimWriteOutcome::kInserted, {}}}});
  CHECK(FindAction<AnswerCaller>(after_deadline) == nullptr);
  CHECK(FindAction<SendToBackend>(after_deadline) == nullptr);
}

// Guards against requests that are granted on a leaving server (I6).
TEST_CASE("a leaving server receives no new request") {
  Fixture fixture;
  std::vector<BackendServer> servers = fixture.state.servers;
  servers[0].leaving = true;
  fixture.Run(ServersChanged{servers});
  for (std::uint64_t id = 1; id <= 3; ++id) {
    const Actions actions = fixture.Arrive(id, RequestClass::kUrgent);
    REQUIRE(FindAction<SendToBackend>(actions) != nullptr);
    CHECK(FindAction<SendToBackend>(actions)->server == "sb-2");
  }
}

// Guards against a burst of requests on a cold server after its pool has passed
// to another owner.
TEST_CASE("a new owner lets the servers warm up that were listed lately") {
  for (const bool is_new : {true, false}) {
    CAPTURE(is_new);
    Fixture fixture;
    std::vector<BackendServer> servers = fixture.state.servers;
    servers.push_back(servers[0]);
    servers.back().name = "sb-3";
    fixture.Run(ServersChanged{servers});
    fixture.now += is_new ? Seconds(2) : Seconds(60);
    fixture.Run(ServersChanged{servers});
    int sent = 0;
    for (std::uint64_t id = 1; id <= 9; ++id) {
      const Actions actions = fixture.Arrive(id, RequestClass::kUrgent);
      const auto* send = FindAction<SendToBackend>(actions);
      sent += send != nullptr && send->server == "sb-3" ? 1 : 0;
    }
    CHECK(sent == (is_new ? 1 : 3));
  }
}

// Guards against an urgent request that waits for a slow server, against hedges
// beyond their budget, and against a superseded attempt that continues.
TEST_CASE("a delayed urgent request is hedged within the budget") {
  Fixture fixture;
  std::uint64_t id = 1;
  for (; id <= 40; ++id) {
    fixture.Arrive(id, RequestClass::kUrgent);
    fixture.now += Milliseconds(10);
    fixture.Run(BackendResponded{id, 1, AttemptOutcome::kAnswered, {}});
  }
  const std::uint64_t slow_request = id++;
  const Actions first = fixture.Arrive(slow_request, RequestClass::kUrgent);
  fixture.now += Milliseconds(60);
  const Actions hedged = fixture.Run(TimerExpired{});
  const auto* second = FindAction<SendToBackend>(hedged);
  REQUIRE(second != nullptr);
  CHECK(second->attempt == 2);
  CHECK(second->server != FindAction<SendToBackend>(first)->server);
  const Actions answered = fixture.Run(
      BackendResponded{slow_request, 2, AttemptOutcome::kAnswered, {}});
  REQUIRE(FindAction<CancelAtBackend>(answered) != nullptr);
  CHECK(FindAction<CancelAtBackend>(answered)->attempt == 1);
  // 42 requests earned tokens for two hedges, and one token has been consumed.
  for (int i = 0; i < 3; ++i)
    fixture.Arrive(id++, RequestClass::kUrgent);
  fixture.now += Milliseconds(30);
  const Actions actions = fixture.Run(TimerExpired{});
  CHECK(std::count_if(actions.begin(), actions.end(), [](const Action& action) {
          return std::holds_alternative<SendToBackend>(action);
        }) == 1);
}

// Guards against retries that add to an overload (8: refusals for lack of
// capacity shrink the budget).
TEST_CASE("refusals shrink the retry budget") {
  Fixture fixture;
  std::vector<BackendServer> servers = fixture.state.servers;
  fixture.Arrive(1, RequestClass::kUrgent);
  const double earned = fixture.state.retry_budget.tokens;
  for (BackendServer& server : servers)
    server.leaving = true;
  fixture.Run(ServersChanged{servers});
  for (std::uint64_t id = 2; id < 200; ++id)
    fixture.Arrive(id, RequestClass::kUrgent);
  const double before = fixture.state.retry_budget.tokens;
  fixture.Arrive(200, RequestClass::kUrgent);
  CHECK(fixture.state.retry_budget.tokens - before < earned / 10);
}

// Guards against running a request here that crashed servers of other entry
// VMs, and against an older item that replaces a newer one.
TEST_CASE("a blocked fingerprint is refused until a newer item allows it") {
  Fixture fixture;
  const auto answer = [&fixture](std::uint64_t id) {
    return fixture.Run(RequestArrived{.request = id,
                                      .client_account = "roads",
                                      .service = "status-board",
                                      .request_class = RequestClass::kUrgent,
                                      .fingerprint = 9,
                                      .deadline = fixture.now + Seconds(1)});
  };
  fixture.Run(BlockedItemsReceived{{{.fingerprint = 9, .version = 2}}});
  fixture.Run(BlockedItemsReceived{{{9, 1, false}}});
  const Actions refused = answer(1);
  REQUIRE(FindAction<AnswerCaller>(refused) != nullptr);
  CHECK(FindAction<AnswerCaller>(refused)->reason == RefusalReason::kBlocked);
  CHECK(FindAction<AnswerCaller>(refused)->verdict == Verdict::kNotRun);
  CHECK(ExportBlockedItems(fixture.state) ==
        std::vector<BlockedItem>{{9, 2, true}});
  fixture.Run(BlockedItemsReceived{{{9, 3, false}}});
  CHECK(FindAction<SendToBackend>(answer(2)) != nullptr);
}

// Guards against a new owner that never receives the leases of other entry VMs.
TEST_CASE(
    "a new owner requests leases and an entry VM reports the leases it holds") {
  Fixture fixture;
  fixture.Run(MembersChanged{
      {fixture.state.self, {.name = "entry-2", .region = "cusco"}}});
  const Actions arrived = fixture.Arrive(1, RequestClass::kUrgent);
  const PoolKey pool{"cusco", "status-board"};
  if (PoolOwner(fixture.state, pool) == "entry-1") {
    REQUIRE(FindAction<RequestLeaseReports>(arrived) != nullptr);
    CHECK(FindAction<RequestLeaseReports>(arrived)->entries ==
          std::vector<std::string>{"entry-2"});
  }
  if (FindAction<SendToBackend>(arrived) == nullptr)
    fixture.Run(SlotGranted{1, 1, 77, "sb-1", "127.0.0.1:1"});
  const Actions reported = fixture.Run(PeerRequestedLeases{pool, "entry-2"});
  REQUIRE(FindAction<ReportLeases>(reported) != nullptr);
  CHECK(FindAction<ReportLeases>(reported)->leases.size() == 1);
  const Actions ended =
      fixture.Run(BackendResponded{1, 1, AttemptOutcome::kAnswered, {}});
  REQUIRE(FindAction<ReturnToPoolOwner>(ended) != nullptr);
  CHECK(FindAction<ReturnToPoolOwner>(ended)->owner == "entry-2");
}

// Guards against an owner that leaves half of its slots unused until the leases
// expire because one request for reports was lost: uploads took 33 s after an
// entry VM was killed.
TEST_CASE("a new owner repeats its request until all entry VMs have reported") {
  Fixture fixture;
  const PoolKey pool{"cusco", "status-board"};
  // Finds the name of another entry VM with which "entry-1" owns the pool.
  std::vector<EntryVm> live = {fixture.state.self};
  for (int i = 2; live.size() < 2; ++i) {
    const EntryVm other{.name = "entry-" + std::to_string(i),
                        .region = "cusco"};
    fixture.Run(MembersChanged{{fixture.state.self, other}});
    if (PoolOwner(fixture.state, pool) == "entry-1")
      live.push_back(other);
  }
  const Actions first = fixture.Arrive(1, RequestClass::kUrgent);
  REQUIRE(FindAction<RequestLeaseReports>(first) != nullptr);
  fixture.now += Seconds(1);
  const Actions again = fixture.Run(TimerExpired{});
  REQUIRE(FindAction<RequestLeaseReports>(again) != nullptr);
  CHECK(FindAction<RequestLeaseReports>(again)->entries ==
        std::vector<std::string>{live[1].name});
  fixture.Run(PeerReportedLeases{pool, live[1].name, {}});
  fixture.now += Seconds(1);
  CHECK(FindAction<RequestLeaseReports>(fixture.Run(TimerExpired{})) ==
        nullptr);
}

// Guards against a request that waits until its deadline for a pool owner that
// is paused or dead: reads were lost while an entry VM was frozen.
TEST_CASE("a slot request to a lost owner is sent elsewhere") {
  Fixture fixture;
  fixture.state.retry_budget.tokens = 5;
  const PoolKey pool{"cusco", "status-board"};
  EntryVm other;
  for (int i = 2; PoolOwner(fixture.state, pool) == "entry-1"; ++i) {
    other = {.name = "entry-" + std::to_string(i), .region = "cusco"};
    fixture.Run(MembersChanged{{fixture.state.self, other}});
  }
  const Actions requested = fixture.Arrive(1, RequestClass::kUrgent);
  REQUIRE(FindAction<SendSlotRequest>(requested) != nullptr);
  fixture.Run(MembersChanged{{fixture.state.self}});
  const Actions lost = fixture.Run(PeerLost{other.name});
  CHECK(FindAction<CancelSlotRequest>(lost) != nullptr);
  CHECK(FindAction<SendToBackend>(lost) != nullptr);
}

}  // namespace cicadadrum
