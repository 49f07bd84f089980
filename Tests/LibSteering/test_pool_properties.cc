// Random sequences of events on a pool, compared with a naive count of what it
// may do.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

namespace {

// Knows each lease and each ask, and checks every action by scanning them.
struct NaivePool {
  std::vector<BackendServer> servers;
  std::map<std::uint64_t, SlotRequest> waiting;  // By id.
  std::map<std::uint64_t, std::pair<SlotRequest, std::string>> leases;

  std::size_t LeasesOn(const std::string& server) const {
    return static_cast<std::size_t>(std::count_if(
        leases.begin(), leases.end(),
        [&](const auto& lease) { return lease.second.second == server; }));
  }

  void CheckGrant(const SlotGrant& grant) {
    RC_ASSERT(waiting.contains(grant.id));
    const SlotRequest request = waiting.at(grant.id);
    waiting.erase(grant.id);
    const auto server =
        std::find_if(servers.begin(), servers.end(),
                     [&](const auto& s) { return s.name == grant.server; });
    RC_ASSERT(server != servers.end());
    RC_ASSERT(!server->leaving);
    RC_ASSERT(std::find(request.avoid.begin(), request.avoid.end(),
                        grant.server) == request.avoid.end());
    RC_ASSERT(!leases.contains(grant.lease));
    leases[grant.lease] = {request, grant.server};
    RC_ASSERT(LeasesOn(grant.server) <= server->slots);
    if (request.request_class == RequestClass::kBulk)
      CheckNoUrgentWaits();
  }

  // A suspect waits for its turn and does not count.
  void CheckNoUrgentWaits() const {
    for (const auto& [id, request] : waiting) {
      RC_ASSERT(request.request_class != RequestClass::kUrgent ||
                request.fingerprint != 0);
    }
  }

  void Check(const PoolActions& actions) {
    for (const PoolAction& action : actions) {
      if (const auto* grant = std::get_if<SlotGrant>(&action))
        CheckGrant(*grant);
      if (const auto* refusal = std::get_if<SlotRefusal>(&action)) {
        RC_ASSERT(waiting.contains(refusal->id));
        waiting.erase(refusal->id);
      }
    }
  }
};

struct PoolRun {
  Pool pool;
  NaivePool naive;
  TimePoint now{Seconds(1)};
  std::uint64_t next_id = 1;

  void Apply(const PoolActions& actions) { naive.Check(actions); }

  void SubmitRequest() {
    SlotRequest request{
        .entry = "e" + std::to_string(*rc::gen::inRange(0, 3)),
        .id = next_id++,
        .customer = "c" + std::to_string(*rc::gen::inRange(0, 4)),
        .request_class = static_cast<RequestClass>(*rc::gen::inRange(0, 4)),
        .deadline = now + Milliseconds(*rc::gen::inRange(1, 500)),
        .fingerprint = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3))};
    if (*rc::gen::inRange(0, 4) == 0)
      request.avoid.push_back("s" + std::to_string(*rc::gen::inRange(0, 5)));
    request.only_if_free = *rc::gen::inRange(0, 8) == 0;
    naive.waiting[request.id] = request;
    PoolActions actions;
    RequestSlot(pool, request, now, actions);
    Apply(actions);
  }

  void Return() {
    if (naive.leases.empty())
      return;
    const auto lease =
        std::next(naive.leases.begin(),
                  *rc::gen::inRange<std::ptrdiff_t>(
                      0, static_cast<std::ptrdiff_t>(naive.leases.size())));
    const std::uint64_t number = lease->first;
    naive.leases.erase(lease);
    PoolActions actions;
    const auto outcome =
        static_cast<AttemptOutcome>(*rc::gen::weightedElement<int>(
            {{20, 0}, {1, 1}, {2, 2}, {1, 3}, {1, 4}, {1, 5}, {2, 6}, {1, 7}}));
    ReturnSlot(pool, number, outcome, Milliseconds(*rc::gen::inRange(1, 100)),
               now, actions);
    Apply(actions);
  }

  void Cancel() {
    if (naive.waiting.empty())
      return;
    const SlotRequest request = naive.waiting.begin()->second;
    naive.waiting.erase(naive.waiting.begin());
    PoolActions actions;
    CancelSlot(pool, request.entry, request.id, now, actions);
    Apply(actions);
  }

  void ChangeServers() {
    naive.servers.clear();
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i)
      naive.servers.push_back(
          {.name = "s" + std::to_string(i),
           // Fewer slots than leases would break the rule without a grant.
           .slots = 3,
           .leaving = *rc::gen::inRange(0, 5) == 0});
    PoolActions actions;
    UpdatePoolServers(pool, naive.servers, now, actions);
    Apply(actions);
  }

  void Wait() {
    now += Milliseconds(*rc::gen::inRange(0, 120));
    // Leases end at the same moment in both.
    std::erase_if(naive.leases, [this](const auto& lease) {
      return lease.second.first.deadline + Seconds(2) <= now;
    });
    PoolActions actions;
    AdvancePool(pool, now, actions);
    Apply(actions);
  }
};

}  // namespace

// Guards against grants beyond a server's slots, on a leaving or avoided
// server, or of bulk before urgent, and against asks that are answered twice or
// never.
TEST_CASE("a pool does what a naive count allows") {
  const bool passed = rc::check([] {
    PoolRun run;
    run.ChangeServers();
    const int steps = *rc::gen::inRange(20, 200);
    for (int i = 0; i < steps; ++i) {
      switch (*rc::gen::weightedElement<int>(
          {{20, 0}, {14, 1}, {2, 2}, {1, 3}, {5, 4}})) {
        case 0:
          run.SubmitRequest();
          break;
        case 1:
          run.Return();
          break;
        case 2:
          run.Cancel();
          break;
        case 3:
          run.ChangeServers();
          break;
        default:
          run.Wait();
          break;
      }
    }
    run.now += Seconds(3);
    run.Wait();
    RC_ASSERT(run.naive.waiting.empty());
    RC_ASSERT(run.pool.waiting_requests.empty());
    RC_ASSERT(run.pool.request_index.empty());
  });
  CHECK(passed);
}

}  // namespace cicadadrum
