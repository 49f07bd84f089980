// Codec of headers, slot messages and forwarded requests.

#include "codec.h"

#include <variant>

#include "codec_values.h"

namespace cicadadrum {

namespace {

// Size of the fixed part of a message: RPC envelope, header and pointers.
constexpr std::size_t kEnvelopeBytes = 512;

}  // namespace

void WriteHeader(const PeerSettings& settings,
                 schema::CallRefusal refusal,
                 schema::PeerHeader::Builder to) {
  to.setProtocolVersion(settings.protocol_version);
  to.setSender(TextToWire(settings.name));
  WriteIncarnation(settings.incarnation, to.initIncarnation());
  to.setConfigurationVersion(settings.configuration_version());
  to.setRefusal(refusal);
  to.setReadsCompressed(settings.reads_compressed);
}

std::optional<ReceivedHeader> ReadHeader(schema::PeerHeader::Reader from,
                                         std::uint32_t expected_version) {
  ReceivedHeader header;
  header.protocol_version = from.getProtocolVersion();
  header.refusal = from.getRefusal();
  if (header.protocol_version != expected_version)
    return header;
  if (header.refusal > schema::CallRefusal::STOPPING)
    return std::nullopt;
  header.sender.name = TextFromWire(from.getSender());
  header.sender.incarnation = ReadIncarnation(from.getIncarnation());
  header.sender.configuration_version = from.getConfigurationVersion();
  header.sender.reads_compressed = from.getReadsCompressed();
  if (header.sender.name.empty())
    return std::nullopt;
  return header;
}

void WriteSlotRequest(const PoolKey& pool,
                      const SlotRequest& slot_request,
                      TimePoint now,
                      schema::SlotRequest::Builder to) {
  to.setId(slot_request.id);
  to.setRegion(TextToWire(pool.region));
  to.setService(TextToWire(pool.service));
  to.setClientAccount(TextToWire(slot_request.client_account));
  to.setRequestClass(
      EnumToWire<schema::RequestClass>(slot_request.request_class));
  to.setRemainingMicroseconds(DeadlineToWire(slot_request.deadline, now));
  auto avoid = to.initAvoid(static_cast<unsigned>(slot_request.avoid.size()));
  for (unsigned i = 0; i < avoid.size(); ++i)
    avoid.set(i, TextToWire(slot_request.avoid[i]));
  to.setPreferred(TextToWire(slot_request.preferred));
  to.setFingerprint(slot_request.fingerprint);
  to.setBodyBytes(slot_request.body_bytes);
  to.setOnlyPreferred(slot_request.only_preferred);
  to.setOnlyIfFree(slot_request.only_if_free);
}

std::optional<ReceivedSlotRequest> ReadSlotRequest(
    schema::SlotRequest::Reader from,
    TimePoint now) {
  const auto request_class = EnumFromWire<RequestClass>(from.getRequestClass());
  const auto deadline = DeadlineFromWire(from.getRemainingMicroseconds(), now);
  if (!request_class || !deadline)
    return std::nullopt;
  ReceivedSlotRequest request;
  request.pool.region = TextFromWire(from.getRegion());
  request.pool.service = TextFromWire(from.getService());
  request.slot_request.id = from.getId();
  request.slot_request.client_account = TextFromWire(from.getClientAccount());
  request.slot_request.request_class = *request_class;
  request.slot_request.deadline = *deadline;
  for (const auto server : from.getAvoid())
    request.slot_request.avoid.push_back(TextFromWire(server));
  request.slot_request.preferred = TextFromWire(from.getPreferred());
  request.slot_request.fingerprint = from.getFingerprint();
  request.slot_request.body_bytes = from.getBodyBytes();
  request.slot_request.only_preferred = from.getOnlyPreferred();
  request.slot_request.only_if_free = from.getOnlyIfFree();
  return request;
}

void WriteSlotAnswer(const SlotAnswer& answer, schema::SlotAnswer::Builder to) {
  if (const auto* grant = std::get_if<SlotGrant>(&answer)) {
    auto granted = to.initGranted();
    granted.setLease(grant->lease);
    granted.setServer(TextToWire(grant->server));
    granted.setAddress(TextToWire(grant->address));
    return;
  }
  const auto& refusal = std::get<SlotRefusal>(answer);
  auto refused = to.initRefused();
  refused.setReason(EnumToWire<schema::RefusalReason>(refusal.reason));
  refused.setRetryAfterMicroseconds(DurationToWire(refusal.retry_after));
}

std::optional<SlotAnswer> ReadSlotAnswer(schema::SlotAnswer::Reader from,
                                         const std::string& entry,
                                         std::uint64_t id) {
  if (from.isGranted()) {
    const auto granted = from.getGranted();
    SlotGrant grant{entry, id, granted.getLease(),
                    TextFromWire(granted.getServer()),
                    TextFromWire(granted.getAddress())};
    // An answer without any member set decodes as a grant with empty members.
    if (grant.lease == 0 || grant.server.empty() || grant.address.empty())
      return std::nullopt;
    return grant;
  }
  if (!from.isRefused())
    return std::nullopt;
  const auto refused = from.getRefused();
  const auto reason = EnumFromWire<RefusalReason>(refused.getReason());
  const auto retry_after =
      DurationFromWire(refused.getRetryAfterMicroseconds());
  if (!reason || !retry_after)
    return std::nullopt;
  return SlotRefusal{entry, id, *reason, *retry_after};
}

void WriteSlotReturn(const SlotReturn& slot_return,
                     schema::SlotReturn::Builder to) {
  to.setRegion(TextToWire(slot_return.pool.region));
  to.setService(TextToWire(slot_return.pool.service));
  to.setLease(slot_return.lease);
  to.setOutcome(EnumToWire<schema::AttemptOutcome>(slot_return.outcome));
  to.setLatencyMicroseconds(DurationToWire(slot_return.latency));
}

std::optional<SlotReturn> ReadSlotReturn(schema::SlotReturn::Reader from) {
  const auto outcome = EnumFromWire<AttemptOutcome>(from.getOutcome());
  const auto latency = DurationFromWire(from.getLatencyMicroseconds());
  if (!outcome || !latency)
    return std::nullopt;
  return SlotReturn{
      {TextFromWire(from.getRegion()), TextFromWire(from.getService())},
      from.getLease(),
      *outcome,
      *latency};
}

void WriteSlotCancel(const SlotRequestReference& slot,
                     schema::SlotCancel::Builder to) {
  to.setRegion(TextToWire(slot.pool.region));
  to.setService(TextToWire(slot.pool.service));
  to.setId(slot.id);
}

std::optional<SlotRequestReference> ReadSlotCancel(
    schema::SlotCancel::Reader from) {
  return SlotRequestReference{
      {TextFromWire(from.getRegion()), TextFromWire(from.getService())},
      from.getId()};
}

void WriteForwardedRequest(const ForwardedRequest& request,
                           TimePoint now,
                           schema::ForwardedRequest::Builder to) {
  to.setClientAccount(TextToWire(request.client_account));
  to.setService(TextToWire(request.service));
  to.setRequestClass(EnumToWire<schema::RequestClass>(request.request_class));
  to.setKey(TextToWire(request.key));
  to.setMethod(TextToWire(request.method));
  to.setPath(TextToWire(request.path));
  to.setBody(DataToWire(request.body));
  to.setRemainingMicroseconds(DeadlineToWire(request.deadline, now));
  to.setTraceparent(TextToWire(request.traceparent));
  to.setOriginRequest(request.origin_request);
  to.setOriginAttempt(request.origin_attempt);
}

std::optional<ForwardedRequest> ReadForwardedRequest(
    schema::ForwardedRequest::Reader from,
    TimePoint now) {
  const auto request_class = EnumFromWire<RequestClass>(from.getRequestClass());
  const auto deadline = DeadlineFromWire(from.getRemainingMicroseconds(), now);
  if (!request_class || !deadline)
    return std::nullopt;
  ForwardedRequest request;
  request.client_account = TextFromWire(from.getClientAccount());
  request.service = TextFromWire(from.getService());
  request.request_class = *request_class;
  request.key = TextFromWire(from.getKey());
  request.method = TextFromWire(from.getMethod());
  request.path = TextFromWire(from.getPath());
  request.body = DataFromWire(from.getBody());
  request.deadline = *deadline;
  request.traceparent = TextFromWire(from.getTraceparent());
  request.origin_request = from.getOriginRequest();
  request.origin_attempt = from.getOriginAttempt();
  return request;
}

void WriteForwardedAnswer(const ForwardedAnswer& answer,
                          schema::ForwardedAnswer::Builder to) {
  to.setVerdict(EnumToWire<schema::Verdict>(answer.verdict));
  to.setStatus(answer.answer.status);
  to.setContentType(TextToWire(answer.answer.content_type));
  to.setBody(DataToWire(answer.answer.body));
  to.setTruncated(answer.answer.truncated);
  to.setReason(EnumToWire<schema::RefusalReason>(answer.reason));
}

std::optional<ForwardedAnswer> ReadForwardedAnswer(
    schema::ForwardedAnswer::Reader from) {
  const auto verdict = EnumFromWire<Verdict>(from.getVerdict());
  const auto reason = EnumFromWire<RefusalReason>(from.getReason());
  if (!verdict || !reason)
    return std::nullopt;
  ForwardedAnswer answer;
  answer.verdict = *verdict;
  answer.reason = *reason;
  answer.answer.status = from.getStatus();
  answer.answer.content_type = TextFromWire(from.getContentType());
  answer.answer.body = DataFromWire(from.getBody());
  answer.answer.truncated = from.getTruncated();
  return answer;
}

std::size_t EstimateBytes(const SlotRequest& slot_request) {
  std::size_t bytes = kEnvelopeBytes + slot_request.client_account.size() +
                      slot_request.preferred.size();
  for (const std::string& server : slot_request.avoid)
    bytes += server.size() + 16;
  return bytes;
}

std::size_t EstimateBytes(const ForwardedRequest& request) {
  return kEnvelopeBytes + request.client_account.size() +
         request.service.size() + request.key.size() + request.method.size() +
         request.path.size() + request.body.size() + request.traceparent.size();
}

std::size_t EstimateBytes(const ForwardedAnswer& answer) {
  return kEnvelopeBytes + answer.answer.content_type.size() +
         answer.answer.body.size();
}

}  // namespace cicadadrum
