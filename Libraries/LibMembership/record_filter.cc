// A Bloom filter with 9 bits and 5 probes per record. Each character encodes 6
// bits.

#include "record_filter.h"

#include "member_table.h"

namespace cicadadrum {

namespace {

constexpr std::size_t kBitsPerCharacter = 6;
constexpr std::size_t kBitsPerRecord = 9;
constexpr std::uint64_t kProbes = 5;
constexpr char kZero = '0';  // Characters are printable: '0' to 'o'.

// Calls `visit` with the index of each bit of the record.
template <typename Visit>
void ForEachBit(std::size_t characters,
                std::uint64_t salt,
                const MemberUpdate& record,
                Visit visit) {
  const std::uint64_t hash = RecordHash(record, salt);
  const std::uint64_t step = (hash >> 32) | 1U;
  for (std::uint64_t probe = 0; probe < kProbes; ++probe)
    visit((hash + probe * step) % (characters * kBitsPerCharacter));
}

}  // namespace

std::string MakeRecordFilter(const MembershipState& state, std::uint64_t salt) {
  const std::size_t bits = state.members.size() * kBitsPerRecord;
  std::string filter(bits / kBitsPerCharacter + 1, 0);
  for (const Member& member : state.members) {
    ForEachBit(filter.size(), salt, member.record, [&](std::size_t bit) {
      char& character = filter[bit / kBitsPerCharacter];
      character = static_cast<char>(character | (1 << bit % kBitsPerCharacter));
    });
  }
  for (char& character : filter)
    character = static_cast<char>(character + kZero);
  return filter;
}

bool IsInFilter(std::string_view filter,
                std::uint64_t salt,
                const MemberUpdate& record) {
  if (filter.empty())
    return false;
  bool may_contain = true;
  ForEachBit(filter.size(), salt, record, [&](std::size_t bit) {
    const int character = filter[bit / kBitsPerCharacter] - kZero;
    may_contain =
        may_contain && (character & (1 << bit % kBitsPerCharacter)) != 0;
  });
  return may_contain;
}

}  // namespace cicadadrum
