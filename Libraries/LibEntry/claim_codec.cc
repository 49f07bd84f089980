// Encoding of claim rows as JSON by schema. The body is base64, since it may
// hold any bytes.

#include "claim_codec.h"

#include <capnp/message.h>
#include <kj/encoding.h>

#include "cicadadrum/configuration/json.h"
#include "schemas/store.capnp.h"

namespace cicadadrum {

namespace {

std::string EncodeBase64(const std::string& bytes) {
  const auto* data = reinterpret_cast<const kj::byte*>(bytes.data());
  return kj::encodeBase64(kj::arrayPtr(data, bytes.size())).cStr();
}

std::string DecodeBase64(const std::string& text) {
  const auto bytes = kj::decodeBase64(kj::arrayPtr(text.data(), text.size()));
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace

std::string EncodeClaimRow(const ClaimRow& row) {
  capnp::MallocMessageBuilder message;
  auto claim = message.initRoot<schema::Claim>();
  claim.setHolder(row.holder);
  claim.setIncarnation(FormatIncarnation(row.incarnation));
  claim.setClaim(row.claim);
  claim.setFinished(row.finished);
  claim.setStatus(row.answer.status);
  claim.setContentType(row.answer.content_type);
  claim.setBody(EncodeBase64(row.answer.body));
  claim.setTruncated(row.answer.truncated);
  return EncodeJson(claim.asReader());
}

boost::leaf::result<ClaimRow> DecodeClaimRow(const std::string& text) {
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(
      claim, DecodeJsonAs<schema::Claim>(text, "claim row",
                                         ErrorCode::kInvalidMessage, message));
  ClaimRow row{.holder = claim.getHolder(), .finished = claim.getFinished()};
  const auto key = ParseRequestKey("c." + row.holder + "." +
                                   std::string(claim.getIncarnation()) + ".0");
  if (!key)
    return boost::leaf::new_error(Error{ErrorCode::kInvalidMessage,
                                        "claim row: incarnation is malformed"});
  row.incarnation = key->incarnation;
  row.claim = claim.getClaim();
  row.answer = {.status = claim.getStatus(),
                .content_type = claim.getContentType(),
                .body = DecodeBase64(claim.getBody()),
                .truncated = claim.getTruncated()};
  return row;
}

}  // namespace cicadadrum
