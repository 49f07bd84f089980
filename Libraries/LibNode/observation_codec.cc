// Encodes observations as packed Cap'n Proto messages.

#include "cicadadrum/node/observation_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <schemas/peer.capnp.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cicadadrum {

namespace {

using routing::ServerObservation;

// Traversal limit in words; the datagrams of peers are far shorter.
constexpr std::uint64_t kMaxMessageWords = 8192;

template <typename Number>
std::uint16_t ClampToUint16(Number number) {
  constexpr auto kMax =
      static_cast<double>(std::numeric_limits<std::uint16_t>::max());
  return static_cast<std::uint16_t>(
      std::clamp(static_cast<double>(number), 0.0, kMax));
}

void Write(const ServerObservation& observation,
           schema::ServerObservation::Builder to) {
  to.setServer(observation.server);
  to.setObject(observation.object);
  to.setAgeMilliseconds(ClampToUint16(observation.age.count() / 1000));
  to.setUnreachable(observation.unreachable);
  to.setLeaving(observation.leaving);
  to.setIncarnation(observation.incarnation);
  to.setHasLimit(observation.limit.has_value());
  to.setLimitPerSecond(static_cast<float>(observation.limit.value_or(0)));
  to.setHasReport(observation.report.has_value());
  if (!observation.report)
    return;
  to.setRunning(ClampToUint16(observation.report->running));
  to.setWaiting(ClampToUint16(observation.report->waiting));
  to.setSlots(ClampToUint16(observation.report->slots));
  to.setWorkPercent(
      ClampToUint16(std::lround(observation.report->work_factor * 100)));
}

ServerObservation Read(schema::ServerObservation::Reader from) {
  ServerObservation observation{.server = from.getServer(),
                                .object = from.getObject(),
                                .unreachable = from.getUnreachable(),
                                .leaving = from.getLeaving(),
                                .incarnation = from.getIncarnation(),
                                .age = Milliseconds(from.getAgeMilliseconds())};
  // A comparison with NaN is false.
  if (from.getHasLimit() && from.getLimitPerSecond() >= 0)
    observation.limit = from.getLimitPerSecond();
  if (from.getHasReport())
    observation.report = {.running = from.getRunning(),
                          .waiting = from.getWaiting(),
                          .slots = from.getSlots(),
                          .work_factor = from.getWorkPercent() / 100.0};
  return observation;
}

}  // namespace

std::string EncodeObservations(
    const std::vector<ServerObservation>& observations) {
  capnp::MallocMessageBuilder message;
  auto datagram = message.initRoot<schema::ObservationsDatagram>();
  datagram.setProtocolVersion(schema::PROTOCOL_VERSION);
  auto list =
      datagram.initObservations(static_cast<unsigned>(observations.size()));
  for (unsigned i = 0; i < list.size(); ++i)
    Write(observations[i], list[i]);
  kj::VectorOutputStream bytes;
  capnp::writePackedMessage(bytes, message);
  const auto written = bytes.getArray();
  return {reinterpret_cast<const char*>(written.begin()), written.size()};
}

std::optional<std::vector<ServerObservation>> DecodeObservations(
    std::string_view datagram) {
  std::optional<std::vector<ServerObservation>> result;
  const auto thrown = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream bytes(
        {reinterpret_cast<const kj::byte*>(datagram.data()), datagram.size()});
    capnp::PackedMessageReader reader(
        bytes, {.traversalLimitInWords = kMaxMessageWords});
    const auto message = reader.getRoot<schema::ObservationsDatagram>();
    if (message.getProtocolVersion() != schema::PROTOCOL_VERSION)
      return;
    result.emplace();
    for (const auto observation : message.getObservations())
      result->push_back(Read(observation));
  });
  if (thrown != nullptr)
    return std::nullopt;
  return result;
}

}  // namespace cicadadrum
