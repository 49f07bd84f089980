// Hashing with XXH3 and rendezvous hashing.

#include "cicadadrum/base/hash.h"

#include <algorithm>
#include <array>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cicadadrum {

std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string FormatHex(std::uint64_t number) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(number));
  return digits.data();
}

std::uint64_t RendezvousScore(std::string_view key,
                              std::string_view candidate) {
  return HashBytes(candidate, HashBytes(key));
}

std::string_view RendezvousWinner(std::string_view key,
                                  const std::vector<std::string>& candidates) {
  std::string_view winner;
  std::uint64_t best = 0;
  for (const std::string& candidate : candidates) {
    const std::uint64_t score = RendezvousScore(key, candidate);
    if (winner.empty() || score > best ||
        (score == best && candidate < winner)) {
      winner = candidate;
      best = score;
    }
  }
  return winner;
}

void RankByRendezvous(std::string_view key,
                      std::vector<std::string>& candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [key](const std::string& a, const std::string& b) {
              const std::uint64_t score_a = RendezvousScore(key, a);
              const std::uint64_t score_b = RendezvousScore(key, b);
              return score_a != score_b ? score_a > score_b : a < b;
            });
}

}  // namespace cicadadrum
