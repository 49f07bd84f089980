// Messages of the table of client blocks (Schemas/lookup.capnp) as bytes.

#ifndef CICADADRUM_LOOKUP_CODEC_BLOCK_UPDATE_CODEC_H_
#define CICADADRUM_LOOKUP_CODEC_BLOCK_UPDATE_CODEC_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "cicadadrum/lookup/block_table.h"

namespace cicadadrum {

// Larger updates have to be sent in parts. A message with more changes is
// refused, so that a damaged one can't take the node's memory.
constexpr std::size_t kMaxChangesPerMessage = 65'536;

// Returns the update in packed encoding. Changes of one family and length
// become one column, in order of address.
std::string EncodeBlockUpdate(const BlockUpdate& update);

// Fails with ErrorCode::kInvalidMessage. Whether the blocks are valid is
// checked by ApplyUpdate.
boost::leaf::result<BlockUpdate> DecodeBlockUpdate(std::string_view bytes);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_CODEC_BLOCK_UPDATE_CODEC_H_
