// cicadadrum-lookup-bench: measures the table of client blocks.
//
// Without arguments the program prints one plain-text table. With
// --benchmark_filter or any other argument of Google Benchmark the program runs
// the benchmarks of Google Benchmark instead. For each table size, two
// baselines are measured as well: a std::map that is searched once per block
// length, and a linear scan.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "cicadadrum/base/random.h"
#include "cicadadrum/lookup/rank_entries.h"
#include "synthetic_table.h"

namespace cicadadrum {

namespace {

constexpr std::array<std::size_t, 4> kSizes = {30'000, 300'000, 1'000'000,
                                               3'000'000};
constexpr std::size_t kAddresses = 1 << 20;
constexpr std::size_t kLoadPart = 4096;

using Clock = std::chrono::steady_clock;
using PlainTable = std::map<ClientBlock, SiteId>;

double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Returns the block lengths that occur in the table, longest first. FindInMap
// searches the map once for each of them.
std::vector<std::uint8_t> LengthsOf(const PlainTable& table) {
  std::array<bool, 65> used{};
  for (const auto& [block, site] : table)
    used[block.length] = true;
  std::vector<std::uint8_t> lengths;
  for (std::size_t length = used.size(); length-- > 0;) {
    if (used[length])
      lengths.push_back(static_cast<std::uint8_t>(length));
  }
  return lengths;
}

SiteId FindInMap(const PlainTable& table,
                 const std::vector<std::uint8_t>& lengths,
                 const ClientAddress& address) {
  for (const std::uint8_t length : lengths) {
    const std::uint64_t mask =
        length == 0 ? 0 : ~std::uint64_t{0} << (64 - length);
    const auto found =
        table.find({address.family, address.bits & mask, length});
    if (found != table.end())
      return found->second;
  }
  return kNoSite;
}

SiteId FindByScan(const std::vector<BlockChange>& blocks,
                  const ClientAddress& address) {
  SiteId site = kNoSite;
  int longest = -1;
  for (const BlockChange& change : blocks) {
    const ClientBlock& block = change.block;
    const std::uint64_t mask =
        block.length == 0 ? 0 : ~std::uint64_t{0} << (64 - block.length);
    if (block.family == address.family && block.length > longest &&
        ((block.bits ^ address.bits) & mask) == 0) {
      site = change.site;
      longest = block.length;
    }
  }
  return site;
}

struct LookupSpeed {
  double per_second = 0;
  // Nanoseconds per lookup, including the cost of reading the clock.
  double p50 = 0;
  double p99 = 0;
};

template <typename Find>
LookupSpeed MeasureSpeed(const std::vector<ClientAddress>& addresses,
                         std::size_t count,
                         Find find) {
  LookupSpeed speed;
  unsigned sum = 0;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < count; ++i)
    sum += find(addresses[i]);
  speed.per_second = static_cast<double>(count) / SecondsSince(start);
  benchmark::DoNotOptimize(sum);
  std::vector<double> times;
  times.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto before = Clock::now();
    benchmark::DoNotOptimize(find(addresses[i]));
    times.push_back(SecondsSince(before) * 1e9);
  }
  std::sort(times.begin(), times.end());
  speed.p50 = times[count / 2];
  speed.p99 = times[count * 99 / 100];
  return speed;
}

// Returns the mean time in microseconds of `rounds` updates of `size` changes
// each. A third of the changes are additions of new blocks, a third are
// removals and a third assign another site.
double MeasureUpdates(BlockTable& table,
                      const std::vector<BlockChange>& blocks,
                      std::size_t size,
                      int rounds) {
  Random random{7};
  const std::vector<BlockChange> other = MakeBlocks(30'000, 99);
  double seconds = 0;
  for (int round = 0; round < rounds; ++round) {
    std::map<ClientBlock, SiteId> changes;
    while (changes.size() < size) {
      const std::uint64_t kind = RandomBelow(random, 3);
      const auto& from = kind == 0 ? other : blocks;
      const ClientBlock& block = from[RandomBelow(random, from.size())].block;
      changes[block] = kind == 1
                           ? kNoSite
                           : static_cast<SiteId>(RandomBelow(random, kSites));
    }
    BlockUpdate update{table.version, table.version + 1, {}};
    for (const auto& [block, site] : changes)
      update.changes.push_back({block, site});
    const auto start = Clock::now();
    benchmark::DoNotOptimize(ApplyUpdate(table, update));
    seconds += SecondsSince(start);
  }
  return seconds / rounds * 1e6;
}

// Returns the time in microseconds to redistribute the blocks of a lost site.
double MeasureSiteLoss(BlockTable& table) {
  const std::vector<Neighbour> neighbours = {
      {1, 8000}, {2, 8000}, {3, 8000}, {4, 8000}};
  const auto start = Clock::now();
  RedistributeSite(table, 0, neighbours);
  const double seconds = SecondsSince(start);
  RestoreSite(table, 0);
  return seconds * 1e6;
}

void PrintSpeed(std::size_t size,
                const char* name,
                const LookupSpeed& speed,
                double bytes) {
  std::printf("%9zu  %-11s %12.0f %9.0f %9.0f %9.2f %9.2f\n", size, name,
              speed.per_second, speed.p50, speed.p99, bytes / 1e6,
              bytes / static_cast<double>(size));
}

void PrintCosts(std::size_t size,
                BlockTable& table,
                const std::vector<BlockChange>& blocks,
                double load_seconds) {
  const TableSize measured = MeasureTable(table);
  std::printf(
      "%9zu  load %.2f s in parts of %zu; %zu pages; own count %.2f MB\n", size,
      load_seconds, kLoadPart, measured.pages,
      static_cast<double>(measured.bytes) / 1e6);
  std::printf("%9zu  loss of a site %.0f us; update of 1, 100, 10000 changes:",
              size, MeasureSiteLoss(table));
  for (const std::size_t changes : {1, 100, 10'000}) {
    std::printf(" %.0f us", MeasureUpdates(table, blocks, changes,
                                           changes > 1000 ? 5 : 50));
  }
  std::printf("\n");
}

void PrintBaselines(std::size_t size,
                    const std::vector<BlockChange>& blocks,
                    const std::vector<ClientAddress>& addresses) {
  const auto scan = [&](const ClientAddress& a) {
    return FindByScan(blocks, a);
  };
  PrintSpeed(size, "linear scan",
             MeasureSpeed(addresses, 30'000'000 / size, scan),
             static_cast<double>(size * sizeof(BlockChange)));
  const std::size_t before = HeapBytes();
  PlainTable plain;
  for (const BlockChange& change : blocks)
    plain.emplace_hint(plain.end(), change.block, change.site);
  const auto bytes = static_cast<double>(HeapBytes() - before);
  const std::vector<std::uint8_t> lengths = LengthsOf(plain);
  const auto find_plain = [&](const ClientAddress& address) {
    return FindInMap(plain, lengths, address);
  };
  PrintSpeed(size, "std::map",
             MeasureSpeed(addresses, kAddresses / 8, find_plain), bytes);
}

// The costs of the BlockTable are measured before the std::map is created,
// because the first large allocation after the map is freed takes 50 ms, while
// the allocator merges the map's freed nodes.
void MeasureAndPrint(std::size_t size) {
  const std::vector<BlockChange> blocks = MakeBlocks(size, 1);
  const std::vector<ClientAddress> addresses =
      MakeAddresses(blocks, kAddresses, 2);
  const std::size_t heap = HeapBytes();
  const auto load_start = Clock::now();
  BlockTable table = LoadTable(blocks, kLoadPart);
  const double load_seconds = SecondsSince(load_start);
  const auto used = static_cast<double>(HeapBytes() - heap);
  const auto find = [&](const ClientAddress& a) { return FindSite(table, a); };
  PrintSpeed(size, "BlockTable", MeasureSpeed(addresses, kAddresses, find),
             used);
  PrintCosts(size, table, blocks, load_seconds);
  PrintBaselines(size, blocks, addresses);
}

std::vector<EntryVm> MakeFleet() {
  std::vector<EntryVm> entries;
  entries.reserve(1600);
  for (int i = 0; i < 1600; ++i) {
    entries.push_back({.name = "entry-" + std::to_string(i),
                       .region = "region-" + std::to_string(i % 11),
                       .failure_domain = "d" + std::to_string(i % 39),
                       .caller_address = "127.0.0.1:" + std::to_string(i),
                       .peer_address = "127.0.0.1:" + std::to_string(i)});
  }
  return entries;
}

void PrintRanking() {
  const std::size_t heap = HeapBytes();
  const EntryDirectory directory = MakeEntryDirectory(MakeFleet());
  const auto bytes = static_cast<double>(HeapBytes() - heap);
  const auto start = Clock::now();
  constexpr int kRounds = 100'000;
  for (int i = 0; i < kRounds; ++i) {
    benchmark::DoNotOptimize(RankEntries(
        directory, "region-3", std::to_string(i % 1000), "lookup-svc"));
  }
  std::printf("ranking of 1600 entry VMs: %.2f us, directory %.2f MB\n",
              SecondsSince(start) / kRounds * 1e6, bytes / 1e6);
}

void BenchmarkFind(benchmark::State& state) {
  const auto blocks = MakeBlocks(static_cast<std::size_t>(state.range(0)), 1);
  const auto addresses = MakeAddresses(blocks, kAddresses, 2);
  const BlockTable table = LoadTable(blocks, kLoadPart);
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(FindSite(table, addresses[next]));
    next = (next + 1) % kAddresses;
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(BenchmarkFind)
    ->Arg(30'000)
    ->Arg(300'000)
    ->Arg(1'000'000)
    ->Arg(3'000'000);

void BenchmarkRank(benchmark::State& state) {
  const EntryDirectory directory = MakeEntryDirectory(MakeFleet());
  for (auto _ : state)
    benchmark::DoNotOptimize(
        RankEntries(directory, "region-3", "client_account", "lookup-svc"));
}
BENCHMARK(BenchmarkRank);

void PrintTable() {
  std::printf("%9s  %-11s %12s %9s %9s %9s %9s\n", "blocks", "table",
              "look-ups/s", "p50 ns", "p99 ns", "MB", "B/block");
  for (const std::size_t size : kSizes)
    MeasureAndPrint(size);
  PrintRanking();
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  if (argc == 1) {
    cicadadrum::PrintTable();
    return 0;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
