// Encoding of the evidence about suspects as items that entry VMs replicate.

#ifndef CICADADRUM_NODE_SUSPECT_CODEC_H_
#define CICADADRUM_NODE_SUSPECT_CODEC_H_

#include <optional>
#include <string_view>

#include "cicadadrum/membership/item.h"
#include "cicadadrum/routing/suspicion.h"

namespace cicadadrum {

// Prefix of the key of an item with a suspect. The slot follows as a decimal
// number.
constexpr std::string_view kSuspectPrefix = "suspect/";

ItemVersion EncodeSuspect(const routing::SuspectRecord& record);

// Returns the record, or nothing if the item holds none or is malformed. Of
// more than routing::kMaxLostServers servers, the first are dropped.
std::optional<routing::SuspectRecord> DecodeSuspect(const ItemVersion& item);

}  // namespace cicadadrum

#endif  // CICADADRUM_NODE_SUSPECT_CODEC_H_
