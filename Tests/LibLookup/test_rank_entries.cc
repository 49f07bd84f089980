// Tests of the ranking of entry VMs.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/lookup/rank_entries.h"

namespace cicadadrum {

namespace {

std::vector<EntryVm> MakeEntryVms(int regions, int per_region) {
  std::vector<EntryVm> entries;
  for (int region = 0; region < regions; ++region) {
    for (int i = 0; i < per_region; ++i) {
      entries.push_back(
          {.name = "e" + std::to_string(region) + "-" + std::to_string(i),
           .region = "r" + std::to_string(region),
           .failure_domain = "d" + std::to_string(i % 2)});
    }
  }
  return entries;
}

std::vector<std::string> RankedNames(const EntryDirectory& directory,
                                     const std::string& client_account) {
  std::vector<std::string> names;
  for (const std::uint32_t index :
       RankEntries(directory, "r0", client_account, "status-board"))
    names.push_back(directory.entries[index].name);
  return names;
}

}  // namespace

// Guards against a list without a usable entry VM after the loss of a failure
// domain or of the region.
TEST_CASE(
    "a list contains entry VMs of two failure domains and of other regions") {
  const EntryDirectory directory = MakeEntryDirectory(MakeEntryVms(3, 6));
  std::map<std::string, int> first;
  for (int i = 0; i < 600; ++i) {
    const auto ranked = RankEntries(directory, "r0", std::to_string(i), "s");
    REQUIRE(ranked.size() == kDefaultRankLimit);
    const auto& entries = directory.entries;
    for (std::size_t place = 0; place < 4; ++place)
      CHECK(entries[ranked[place]].region == "r0");
    CHECK(entries[ranked[0]].failure_domain !=
          entries[ranked[1]].failure_domain);
    CHECK(std::set<std::string>{"r0", entries[ranked[4]].region,
                                entries[ranked[5]].region}
              .size() == 3);
    CHECK(std::set<std::uint32_t>(ranked.begin(), ranked.end()).size() ==
          ranked.size());
    ++first[entries[ranked[0]].name];
  }
  CHECK(first.size() == 6);
  for (const auto& [name, count] : first)
    CHECK(count < 150);  // 100 on average.
  CHECK(RankEntries(directory, "r0", "c", "s", 1).size() == 1);
}

// Guards against a loss of an entry VM or a region that moves callers of other
// entry VMs.
TEST_CASE(
    "the removal of an entry VM changes only the lists that contained the "
    "entry VM") {
  const std::vector<EntryVm> all = MakeEntryVms(3, 6);
  const EntryDirectory before = MakeEntryDirectory(all);
  std::vector<EntryVm> live = all;
  std::erase_if(live, [](const EntryVm& e) { return e.name == "e0-3"; });
  const EntryDirectory after = MakeEntryDirectory(live);
  std::erase_if(live, [](const EntryVm& e) { return e.region == "r0"; });
  const EntryDirectory without_region = MakeEntryDirectory(live);
  for (int i = 0; i < 300; ++i) {
    const std::string client_account = std::to_string(i);
    const auto old_names = RankedNames(before, client_account);
    const auto new_names = RankedNames(after, client_account);
    if (std::find(old_names.begin(), old_names.end(), "e0-3") ==
        old_names.end())
      CHECK(new_names == old_names);
    else if (old_names[0] != "e0-3")
      CHECK(new_names[0] == old_names[0]);
    CHECK(RankedNames(without_region, client_account).size() ==
          kDefaultRankLimit);
  }
}

}  // namespace cicadadrum
