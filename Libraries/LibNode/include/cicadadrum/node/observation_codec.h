// Observations of backend servers as datagrams between entry VMs.

#ifndef CICADADRUM_NODE_OBSERVATION_CODEC_H_
#define CICADADRUM_NODE_OBSERVATION_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/routing/events.h"

namespace cicadadrum {

std::string EncodeObservations(
    const std::vector<routing::ServerObservation>& observations);

// Returns nothing for a datagram that is malformed or of another protocol
// version.
std::optional<std::vector<routing::ServerObservation>> DecodeObservations(
    std::string_view datagram);

}  // namespace cicadadrum

#endif  // CICADADRUM_NODE_OBSERVATION_CODEC_H_
