// Property test: applies random sequences of events to a pool and compares its
// actions with a simple model.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

namespace {

// Records each lease and each waiting request, and checks every action by
// scanning them.
struct PoolModel {
  std::vector<BackendServer> servers;
  // Waiting requests by id.
  std::map<std::uint64_t, SlotRequest> waiting;
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

  // Urgent suspects are excluded, because suspects wait until no other suspect
  // runs.
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
  PoolModel model;
  TimePoint now{Seconds(1)};
  std::uint64_t next_id = 1;

  void Apply(const PoolActions& actions) { model.Check(actions); }

  void SubmitRequest() {
    SlotRequest request{
        .entry = "e" + std::to_string(*rc::gen::inRange(0, 3)),
        .id = next_id++,
        .client_account = "c" + std::to_string(*rc::gen::inRange(0, 4)),
        .request_class = static_cast<RequestClass>(*rc::gen::inRange(0, 4)),
        .deadline = now + Milliseconds(*rc::gen::inRange(1, 500)),
        .fingerprint = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3))};
    if (*rc::gen::inRange(0, 4) == 0)
      request.avoid.push_back("s" + std::to_string(*rc::gen::inRange(0, 5)));
    request.only_if_free = *rc::gen::inRange(0, 8) == 0;
    model.waiting[request.id] = request;
    PoolActions actions;
    RequestSlot(pool, request, now, actions);
    Apply(actions);
  }

  void Return() {
    if (model.leases.empty())
      return;
    const auto lease =
        std::next(model.leases.begin(),
                  *rc::gen::inRange<std::ptrdiff_t>(
                      0, static_cast<std::ptrdiff_t>(model.leases.size())));
    const std::uint64_t number = lease->first;
    model.leases.erase(lease);
    PoolActions actions;
    const auto outcome =
        static_cast<AttemptOutcome>(*rc::gen::weightedElement<int>(
            {{20, 0}, {1, 1}, {2, 2}, {1, 3}, {1, 4}, {1, 5}, {2, 6}, {1, 7}}));
    ReturnSlot(pool, number, outcome, Milliseconds(*rc::gen::inRange(1, 100)),
               now, actions);
    Apply(actions);
  }

  void Cancel() {
    if (model.waiting.empty())
      return;
    const SlotRequest request = model.waiting.begin()->second;
    model.waiting.erase(model.waiting.begin());
    PoolActions actions;
    CancelSlot(pool, request.entry, request.id, now, actions);
    Apply(actions);
  }

  void ChangeServers() {
    model.servers.clear();
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i)
      model.servers.push_back({.name = "s" + std::to_string(i),
                               // With fewer slots than leases, a server would
                               // exceed its slots without a new grant.
                               .slots = 3,
                               .leaving = *rc::gen::inRange(0, 5) == 0});
    PoolActions actions;
    UpdatePoolServers(pool, model.servers, now, actions);
    Apply(actions);
  }

  void Wait() {
    now += Milliseconds(*rc::gen::inRange(0, 120));
    // Leases expire at the same time in the pool and in the model.
    std::erase_if(model.leases, [this](const auto& lease) {
      return lease.second.first.deadline + Seconds(2) <= now;
    });
    PoolActions actions;
    AdvancePool(pool, now, actions);
    Apply(actions);
  }
};

}  // namespace

// Guards against grants beyond the slots of a server, on a leaving or avoided
// server, or of bulk requests before urgent ones, and against requests that are
// answered twice or never.
TEST_CASE("random events lead only to grants that the model allows") {
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
    RC_ASSERT(run.model.waiting.empty());
    RC_ASSERT(run.pool.waiting_requests.empty());
    RC_ASSERT(run.pool.request_index.empty());
  });
  CHECK(passed);
}

}  // namespace cicadadrum
