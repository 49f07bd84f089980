// Tags of names in messages.

#include "cicadadrum/quota/messages.h"

#include "cicadadrum/base/hash.h"

namespace cicadadrum::quota {

std::uint32_t NameTag(std::string_view name) {
  return static_cast<std::uint32_t>(HashBytes(name));
}

}  // namespace cicadadrum::quota
