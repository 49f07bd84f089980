// Tests of the items with the evidence about suspects.

#include <doctest/doctest.h>

#include "cicadadrum/node/suspect_codec.h"

namespace cicadadrum {

namespace {

routing::SuspectRecord MakeRecord() {
  return {.slot = 7,
          .version = 515,
          .fingerprint = 0xfedcba9876543210ULL,
          .losses = 3,
          .servers = {1, 0xffffffffffffffffULL, 3}};
}

}  // namespace

// Guards against fingerprints that lose digits in JSON.
TEST_CASE("a suspect survives encoding and decoding") {
  const ItemVersion item = EncodeSuspect(MakeRecord());
  CHECK(item.key == "suspect/7");
  CHECK(DecodeSuspect(item) == MakeRecord());
}

// Guards against an item of another release that ends the process or fills its
// memory.
TEST_CASE("items that hold no suspect are ignored") {
  const ItemVersion item = EncodeSuspect(MakeRecord());
  for (const std::string key :
       {"", "blocked/7", "suspect/", "suspect/128", "suspect/-1", "suspect/7x",
        "suspect/99999999999"})
    CHECK(!DecodeSuspect({key, item.version, item.value}));
  for (const std::string value : {"", "{", "[]", "{\"losses\":-1}",
                                  "{\"servers\":3}", "{\"losses\":\"x\"}"})
    CHECK(!DecodeSuspect({item.key, item.version, value}));
}

TEST_CASE("a suspect with many servers keeps the newest") {
  routing::SuspectRecord record = MakeRecord();
  for (std::uint64_t i = 0; i < 1000; ++i)
    record.servers.push_back(i);
  const auto decoded = DecodeSuspect(EncodeSuspect(record));
  REQUIRE(decoded);
  CHECK(decoded->servers.size() == routing::kMaxLostServers);
  CHECK(decoded->servers.back() == 999);
}

}  // namespace cicadadrum
