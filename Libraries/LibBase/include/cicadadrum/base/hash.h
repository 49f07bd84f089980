// Hashing and rendezvous hashing. Hash values must be the same on every machine
// and in every version, because all entry VMs must compute the same values.

#ifndef CICADADRUM_BASE_HASH_H_
#define CICADADRUM_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadadrum {

// Returns the 64-bit XXH3 hash of `bytes`.
std::uint64_t HashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Returns the number as 16 lower-case hexadecimal digits with leading zeros.
std::string FormatHex(std::uint64_t number);

// Returns the rendezvous (highest random weight) score of `candidate` for
// `key`.
std::uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

// Returns the candidate with the highest score for `key`, or an empty view if
// `candidates` is empty. The result refers to a string in `candidates`. If
// scores are equal, the candidate that sorts first wins.
std::string_view RendezvousWinner(std::string_view key,
                                  const std::vector<std::string>& candidates);

// Sorts `candidates` by score for `key`, highest first, and by name if scores
// are equal.
void RankByRendezvous(std::string_view key,
                      std::vector<std::string>& candidates);

}  // namespace cicadadrum

#endif  // CICADADRUM_BASE_HASH_H_
