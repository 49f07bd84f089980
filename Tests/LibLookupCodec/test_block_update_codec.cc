// Tests of the encoding and decoding of block updates.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

#include "cicadadrum/base/random.h"
#include "cicadadrum/lookup_codec/block_update_codec.h"

namespace cicadadrum {

// Guards against changes that are lost or altered by the encoding, and against
// corrupt messages that terminate the process.
TEST_CASE(
    "decoding restores an encoded update and rejects empty and oversized "
    "messages") {
  CHECK(rc::check("codec", [] {
    Random random{*rc::gen::arbitrary<std::uint64_t>()};
    std::map<ClientBlock, SiteId> blocks;
    for (std::uint64_t i = RandomBelow(random, 300); i > 0; --i) {
      const auto length = static_cast<std::uint8_t>(RandomBelow(random, 65));
      blocks[{static_cast<AddressFamily>(RandomBelow(random, 2)),
              NextRandom(random), length}] =
          static_cast<SiteId>(RandomBelow(random, 256));
    }
    BlockUpdate update{NextRandom(random), NextRandom(random), {}};
    for (const auto& [block, site] : blocks)
      update.changes.push_back({block, site});
    std::string bytes = EncodeBlockUpdate(update);
    const auto decoded = DecodeBlockUpdate(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->base == update.base);
    RC_ASSERT(decoded->version == update.version);
    std::map<ClientBlock, SiteId> decoded_blocks;
    for (const BlockChange& change : decoded->changes)
      decoded_blocks[change.block] = change.site;
    RC_ASSERT(decoded_blocks == blocks);
    RC_ASSERT(decoded->changes.size() == blocks.size());
    for (int i = 0; i < 3; ++i)
      bytes[RandomBelow(random, bytes.size())] ^=
          static_cast<char>(NextRandom(random));
    bytes.resize(RandomBelow(random, bytes.size() + 1));
    (void)DecodeBlockUpdate(bytes);
  }));
  CHECK_FALSE(DecodeBlockUpdate("").has_value());
  BlockUpdate large{0, 1, {}};
  for (std::uint64_t i = 0; i <= kMaxChangesPerMessage; ++i)
    large.changes.push_back({{AddressFamily::kIpv6, i, 64}, 1});
  CHECK_FALSE(DecodeBlockUpdate(EncodeBlockUpdate(large)).has_value());
}

}  // namespace cicadadrum
