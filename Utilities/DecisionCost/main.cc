// cicadadrum-decision-cost: processor time and allocated bytes of one decision
// of a pool, a slot request and the return of the slot, for several pool sizes.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

#include "allocation_counter.h"
#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

namespace {

constexpr std::uint32_t kSlots = 4;

Pool MakePool(std::uint32_t servers) {
  Pool pool;
  std::vector<BackendServer> list;
  list.reserve(servers);
  for (std::uint32_t i = 0; i < servers; ++i)
    list.push_back({.name = "server-" + std::to_string(i), .slots = kSlots});
  PoolActions actions;
  UpdatePoolServers(pool, list, TimePoint(Seconds(1)), actions);
  return pool;
}

// Requests and returns one slot per iteration while two thirds of all slots are
// leased.
void GrantAndReturn(benchmark::State& state) {
  const auto servers = static_cast<std::uint32_t>(state.range(0));
  Pool pool = MakePool(servers);
  TimePoint now(Seconds(1));
  std::deque<std::uint64_t> leases;
  SlotRequest request{.entry = "entry-1",
                      .client_account = "account-1",
                      .request_class = RequestClass::kRoutine};
  PoolActions actions;
  const std::size_t leased_slots = servers * kSlots * 2 / 3;
  const std::uint64_t allocated_before = AllocatedBytes();
  for (auto _ : state) {
    now += Microseconds(10);
    request.id += 1;
    request.deadline = now + Seconds(2);
    actions.clear();
    RequestSlot(pool, request, now, actions);
    leases.push_back(std::get<SlotGrant>(actions.front()).lease);
    if (leases.size() <= leased_slots)
      continue;
    actions.clear();
    ReturnSlot(pool, leases.front(), AttemptOutcome::kAnswered,
               Milliseconds(10), now, actions);
    leases.pop_front();
  }
  state.counters["bytes"] = benchmark::Counter(
      static_cast<double>(AllocatedBytes() - allocated_before),
      benchmark::Counter::kAvgIterations);
}

BENCHMARK(GrantAndReturn)->Arg(16)->Arg(160)->Arg(1600);

}  // namespace

}  // namespace cicadadrum

BENCHMARK_MAIN();
