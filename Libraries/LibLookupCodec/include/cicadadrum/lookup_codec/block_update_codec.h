// Encoding and decoding of updates of the client block table
// (Schemas/lookup.capnp).

#ifndef CICADADRUM_LOOKUP_CODEC_BLOCK_UPDATE_CODEC_H_
#define CICADADRUM_LOOKUP_CODEC_BLOCK_UPDATE_CODEC_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "cicadadrum/lookup/block_table.h"

namespace cicadadrum {

// Maximum number of changes in one message. Larger updates must be sent in
// parts. A message with more changes is rejected, so that a corrupt message
// can't exhaust the node's memory.
constexpr std::size_t kMaxChangesPerMessage = 65'536;

// Returns the update in packed encoding. The changes of one family and block
// length form one column, in order of address. The number of changes is not
// checked here: a message with more than kMaxChangesPerMessage changes can't be
// decoded.
std::string EncodeBlockUpdate(const BlockUpdate& update);

// Decodes an update. Error: kInvalidMessage, if the message is corrupt or has
// more than kMaxChangesPerMessage changes. Whether the blocks are valid is
// checked by ApplyUpdate.
boost::leaf::result<BlockUpdate> DecodeBlockUpdate(std::string_view bytes);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOKUP_CODEC_BLOCK_UPDATE_CODEC_H_
