// Converts the messages of Schemas/peer.capnp to and from plain structs.
//
// The data of the readers comes from another process. A Read function returns
// nothing for a value that no entry VM of this protocol version sends, such as
// an unknown enumerator, a negative duration or an empty name. Cap'n Proto
// throws an exception for a message whose encoding is malformed, so Read
// functions must be called through Decode().
//
// A message contains the time that remains until a deadline. Write functions
// compute the remaining time from `now`, the current time at the sender, and
// Read functions add it to `now`, the current time at the receiver.

#ifndef LIBRARIES_LIBPEER_CODEC_H_
#define LIBRARIES_LIBPEER_CODEC_H_

#include <kj/exception.h>
#include <schemas/peer.capnp.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "cicadadrum/peer/messages.h"
#include "cicadadrum/peer/peer_settings.h"
#include "compression.h"

namespace cicadadrum {

// Returns the result of `read`, or nothing if Cap'n Proto throws an exception
// because the message is malformed.
template <typename Read>
auto Decode(Read&& read) -> decltype(read()) {
  decltype(read()) result;
  const auto thrown = kj::runCatchingExceptions([&] { result = read(); });
  if (thrown != nullptr)
    return std::nullopt;
  return result;
}

// Header of a call or of an answer.
struct ReceivedHeader {
  std::uint32_t protocol_version = 0;
  schema::CallRefusal refusal = schema::CallRefusal::NONE;
  PeerInfo sender;  // Set only if the protocol version is the expected version.
};

void WriteHeader(const PeerSettings& settings,
                 schema::CallRefusal refusal,
                 schema::PeerHeader::Builder to);
// For a header of another protocol version, only the version and the refusal
// are read.
std::optional<ReceivedHeader> ReadHeader(schema::PeerHeader::Reader from,
                                         std::uint32_t expected_version);

void WriteSlotRequest(const PoolKey& pool,
                      const SlotRequest& slot_request,
                      TimePoint now,
                      schema::SlotRequest::Builder to);
// A decoded slot request.
struct ReceivedSlotRequest {
  PoolKey pool;
  SlotRequest slot_request;  // The receiver sets `entry` and `limits`.
};
std::optional<ReceivedSlotRequest> ReadSlotRequest(
    schema::SlotRequest::Reader from,
    TimePoint now);

void WriteSlotAnswer(const SlotAnswer& answer, schema::SlotAnswer::Builder to);
// `entry` and `id` identify the request that is answered.
std::optional<SlotAnswer> ReadSlotAnswer(schema::SlotAnswer::Reader from,
                                         const std::string& entry,
                                         std::uint64_t id);

void WriteSlotReturn(const SlotReturn& slot_return,
                     schema::SlotReturn::Builder to);
std::optional<SlotReturn> ReadSlotReturn(schema::SlotReturn::Reader from);

// Identifies a slot request of the sender.
struct SlotRequestReference {
  PoolKey pool;
  std::uint64_t id = 0;
};
void WriteSlotCancel(const SlotRequestReference& slot,
                     schema::SlotCancel::Builder to);
std::optional<SlotRequestReference> ReadSlotCancel(
    schema::SlotCancel::Reader from);

void WritePool(const PoolKey& pool, schema::PoolName::Builder to);
std::optional<PoolKey> ReadPool(schema::PoolName::Reader from);

void WriteLeasesReport(const LeasesReport& report,
                       TimePoint now,
                       schema::LeasesReport::Builder to);
std::optional<LeasesReport> ReadLeasesReport(schema::LeasesReport::Reader from,
                                             TimePoint now);

void WriteForwardedRequest(const ForwardedRequest& request,
                           TimePoint now,
                           schema::ForwardedRequest::Builder to);
std::optional<ForwardedRequest> ReadForwardedRequest(
    schema::ForwardedRequest::Reader from,
    TimePoint now);

void WriteForwardedAnswer(const ForwardedAnswer& answer,
                          schema::ForwardedAnswer::Builder to);
std::optional<ForwardedAnswer> ReadForwardedAnswer(
    schema::ForwardedAnswer::Reader from);

void WriteItem(const PeerItem& item, schema::ItemVersion::Builder to);
// Compresses a large value.
void WriteItem(const PeerItem& item,
               CompressionCache* cache,
               schema::ItemVersion::Builder to);
std::optional<PeerItem> ReadItem(schema::ItemVersion::Reader from);

void WriteExchange(const PeerExchange& message,
                   schema::ExchangeMessage::Builder to);
std::optional<PeerExchange> ReadExchange(schema::ExchangeMessage::Reader from);

void WriteRelayRequest(const discovery::RelayRequest& relay_request,
                       schema::RowsAsk::Builder to);
std::optional<discovery::RelayRequest> ReadRelayRequest(
    schema::RowsAsk::Reader from);

// Compresses large values of rows.
void WriteRelayResponse(const discovery::RelayResponse& answer,
                        CompressionCache* cache,
                        schema::RowsAnswer::Builder to);
std::optional<discovery::RelayResponse> ReadRelayResponse(
    schema::RowsAnswer::Reader from);

// Size of the first segment of a message. All messages get a size hint, because
// without a hint GCC 12 reports false -Wmaybe-uninitialized warnings under the
// sanitizers.
inline capnp::MessageSize SizeHint(std::size_t bytes) {
  return {bytes / sizeof(capnp::word), 0};
}

// Size hint of a message without text of variable length.
constexpr std::size_t kSmallMessageBytes = 512;

// Returns the approximate number of bytes of the message on the wire. The error
// is a few percent for messages above a kilobyte.
std::size_t EstimateBytes(const SlotRequest& slot_request);
std::size_t EstimateBytes(const ForwardedRequest& request);
std::size_t EstimateBytes(const ForwardedAnswer& answer);
std::size_t EstimateBytes(const PeerExchange& message);
std::size_t EstimateBytes(const PeerItem& item);
std::size_t EstimateBytes(const PeerItem& item, CompressionCache* cache);
std::size_t EstimateBytes(const LeasesReport& report);
std::size_t EstimateBytes(const discovery::RelayResponse& answer,
                          CompressionCache* cache);

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBPEER_CODEC_H_
