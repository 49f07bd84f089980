// Encoding of observations of backend servers as datagrams between entry VMs.

#ifndef CICADADRUM_NODE_OBSERVATION_CODEC_H_
#define CICADADRUM_NODE_OBSERVATION_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cicadadrum/routing/events.h"

namespace cicadadrum {

// Returns the datagram. Counts are clamped to 65,535, ages to 65,535 ms; the
// work factor is rounded to percent.
std::string EncodeObservations(
    const std::vector<routing::ServerObservation>& observations);

// Returns the observations, or nothing if the datagram is malformed or has
// another protocol version.
std::optional<std::vector<routing::ServerObservation>> DecodeObservations(
    std::string_view datagram);

}  // namespace cicadadrum

#endif  // CICADADRUM_NODE_OBSERVATION_CODEC_H_
