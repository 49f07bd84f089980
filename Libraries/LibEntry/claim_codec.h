// Encoding of claim rows.

#ifndef CICADADRUM_ENTRY_CLAIM_CODEC_H_
#define CICADADRUM_ENTRY_CLAIM_CODEC_H_

#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/claim/claim.h"

namespace cicadadrum {

std::string EncodeClaimRow(const ClaimRow& row);

// Error: kInvalidMessage.
boost::leaf::result<ClaimRow> DecodeClaimRow(const std::string& text);

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_CLAIM_CODEC_H_
