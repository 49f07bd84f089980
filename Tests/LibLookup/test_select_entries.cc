// Tests of the choice of the entry VMs that callers are told to use.

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/lookup/select_entries.h"

namespace cicadadrum {

namespace {

std::vector<EntryVm> MakeEntries(int count,
                                 const std::string& prefix,
                                 double link_megabits_per_second,
                                 double processor_share) {
  std::vector<EntryVm> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    entries.push_back({.name = prefix + std::to_string(i),
                       .region = "north",
                       .failure_domain = "north-a",
                       .link_megabits_per_second = link_megabits_per_second,
                       .processor_share = processor_share});
  return entries;
}

// Four strong and sixteen weak entry VMs.
std::vector<EntryVm> MakeMixedEntries() {
  std::vector<EntryVm> entries = MakeEntries(4, "strong-", 200, 0.5);
  for (EntryVm& weak : MakeEntries(16, "weak-", 10, 0.1))
    entries.push_back(std::move(weak));
  return entries;
}

std::set<std::string> NamesOf(const std::vector<EntryVm>& entries) {
  std::set<std::string> names;
  for (const EntryVm& entry : entries)
    names.insert(entry.name);
  return names;
}

std::vector<EntryVm> SelectBy(const EntryVm& responder,
                              const std::vector<EntryVm>& live,
                              double request_bytes) {
  return SelectEntries(live, "north",
                       {.responder = responder.name,
                        .responder_region = responder.region,
                        .request_bytes = request_bytes});
}

// Returns for each entry VM the share of the callers that use it, if callers
// spread evenly over responders and over the entry VMs that these name.
std::map<std::string, double> CallerShares(const std::vector<EntryVm>& live,
                                           double request_bytes) {
  const auto responders = static_cast<double>(live.size());
  std::map<std::string, double> shares;
  for (const EntryVm& responder : live) {
    const auto selected = SelectBy(responder, live, request_bytes);
    for (const EntryVm& entry : selected)
      shares[entry.name] +=
          1.0 / (responders * static_cast<double>(selected.size()));
  }
  return shares;
}

}  // namespace

TEST_CASE("equally strong entry VMs are all named") {
  const auto live = MakeEntries(30, "e", 100, 0.2);
  CHECK(SelectEntries(live, "north", {.responder = "a", .request_bytes = 9e4})
            .size() == 30);
  const auto unknown = MakeEntries(30, "e", 0, 0);
  CHECK(SelectEntries(unknown, "north", {.responder = "a"}).size() == 30);
}

// Guards against weak entry VMs that get as many callers as strong ones, and
// against weak ones that nobody uses.
TEST_CASE("callers use entry VMs by what these can carry") {
  // By processor alone, a strong one carries five times as much.
  const auto shares = CallerShares(MakeMixedEntries(), 0);
  CHECK(shares.size() == 20);
  // With large responses, the link decides: 20 times as much.
  const auto large = CallerShares(MakeMixedEntries(), 90'000);
  CHECK(large.size() == 20);
  for (int i = 0; i < 16; ++i) {
    const std::string weak = "weak-" + std::to_string(i);
    CAPTURE(weak);
    CHECK(shares.at("strong-0") > 3 * shares.at(weak));
    CHECK(shares.at("strong-0") < 8 * shares.at(weak));
    // One or two of the twenty responders name each weak one.
    CHECK(large.at("strong-0") > 8 * large.at(weak));
  }
}

// Guards against callers that close their connections because another entry VM
// has come or gone.
TEST_CASE("a removed entry VM changes little else in the selection") {
  const auto live = MakeMixedEntries();
  std::size_t changes = 0;
  for (const EntryVm& responder : live) {
    if (responder.name == "weak-3")
      continue;
    auto before = NamesOf(SelectBy(responder, live, 0));
    before.erase("weak-3");
    auto fewer = live;
    std::erase_if(fewer, [](const EntryVm& vm) { return vm.name == "weak-3"; });
    const auto after = NamesOf(SelectBy(responder, fewer, 0));
    std::vector<std::string> different;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(),
                                  after.end(), std::back_inserter(different));
    changes += different.size();
  }
  // Of 19 responders with seven names each.
  CHECK(changes <= 19);
}

// Guards against callers that know one entry VM only and lose it.
TEST_CASE("a single strong entry VM is not the only one that is named") {
  auto live = MakeEntries(1, "strong-", 1000, 1);
  for (EntryVm& weak : MakeEntries(10, "weak-", 10, 0.1))
    live.push_back(std::move(weak));
  for (int i = 0; i < 50; ++i) {
    const auto selected = SelectEntries(
        live, "north",
        {.responder = std::to_string(i), .request_bytes = 90'000});
    CHECK(selected.size() >= 4);
    CHECK(NamesOf(selected).contains("strong-0"));
  }
}

// Guards against an upgrade during which everybody uses the entry VMs of the
// earlier release, which do not tell what they can carry.
TEST_CASE("entry VMs of unknown capacity leave the others their callers") {
  auto live = MakeEntries(10, "known-", 100, 0.2);
  for (EntryVm& unknown : MakeEntries(2, "unknown-", 0, 0))
    live.push_back(std::move(unknown));
  CHECK(SelectBy(live.front(), live, 9e4).size() == 12);
}

TEST_CASE("no more entry VMs are named than allowed") {
  CHECK(SelectEntries(MakeEntries(200, "e", 100, 0.2), "north",
                      {.responder = "a", .max_count = 64})
            .size() == 64);
}

TEST_CASE("a region without entry VMs gets those of all regions") {
  const auto live = MakeEntries(3, "e", 100, 0.2);
  CHECK(SelectEntries(live, "south", {.responder = "a"}).size() == 3);
  CHECK(SelectEntries({}, "south", {.responder = "a"}).empty());
}

}  // namespace cicadadrum
