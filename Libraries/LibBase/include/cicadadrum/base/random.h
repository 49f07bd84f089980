// Seeded pseudo-random number generator (SplitMix64). The same seed produces
// the same sequence, so that decisions are reproducible.

#ifndef CICADADRUM_BASE_RANDOM_H_
#define CICADADRUM_BASE_RANDOM_H_

#include <cstdint>

namespace cicadadrum {

struct Random {
  std::uint64_t state = 1;
};

__extension__ using Uint128 = unsigned __int128;

// Returns a 64-bit number and advances the generator.
constexpr std::uint64_t NextRandom(Random& random) {
  std::uint64_t z = (random.state += 0x9e3779b97f4a7c15ULL);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// Returns an integer in [0, bound). `bound` must not be 0. The bias is below
// bound / 2^64.
constexpr std::uint64_t RandomBelow(Random& random, std::uint64_t bound) {
  return static_cast<std::uint64_t>(
      (static_cast<Uint128>(NextRandom(random)) * bound) >> 64);
}

// Returns a floating-point number in [0, 1).
constexpr double RandomUnit(Random& random) {
  return static_cast<double>(NextRandom(random) >> 11) * 0x1.0p-53;
}

}  // namespace cicadadrum

#endif  // CICADADRUM_BASE_RANDOM_H_
