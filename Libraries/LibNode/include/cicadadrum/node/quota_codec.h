// Encoding of messages about quotas as datagrams between entry VMs.

#ifndef CICADADRUM_NODE_QUOTA_CODEC_H_
#define CICADADRUM_NODE_QUOTA_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "cicadadrum/quota/messages.h"

namespace cicadadrum {

// Returns the datagram. A receiver that knows no quotas takes it for one
// without observations.
std::string EncodeQuotaMessage(const quota::QuotaMessage& message);

// Returns the message, or nothing if the datagram has no items about quotas, is
// malformed or has another protocol version. Items of an unknown kind are left
// out.
std::optional<quota::QuotaMessage> DecodeQuotaMessage(
    std::string_view datagram);

}  // namespace cicadadrum

#endif  // CICADADRUM_NODE_QUOTA_CODEC_H_
