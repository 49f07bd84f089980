// Tests of the encoding of messages about quotas as datagrams.

#include <doctest/doctest.h>

#include "cicadadrum/node/observation_codec.h"
#include "cicadadrum/node/quota_codec.h"

namespace cicadadrum {

TEST_CASE("decoding returns the encoded message about quotas") {
  const quota::QuotaMessage sent{
      .sender = 0xdeadbeef,
      .fleet_size = 59,
      .items = {{.cell = 7, .sequence = 65535, .tokens = 3, .ahead = 4},
                {.cell = 0xffffffff,
                 .kind = quota::ItemKind::kGrant,
                 .sequence = 1,
                 .answer = quota::Answer::kNotOwner,
                 .retry_after_ms = 250},
                {.cell = 8, .kind = quota::ItemKind::kClaim},
                {.cell = 8, .kind = quota::ItemKind::kRelease, .tokens = 500},
                {.cell = 8, .kind = quota::ItemKind::kVacant}}};
  const auto received = DecodeQuotaMessage(EncodeQuotaMessage(sent));
  REQUIRE(received);
  CHECK(*received == sent);
}

// Guards against confusing the two kinds of datagrams of the socket. A process
// that knows no quotas reads a message about them as one without observations.
TEST_CASE("messages about quotas and observations are told apart") {
  const quota::QuotaMessage message{.sender = 1, .items = {{.cell = 2}}};
  const auto observations = DecodeObservations(EncodeQuotaMessage(message));
  REQUIRE(observations);
  CHECK(observations->empty());
  CHECK(!DecodeQuotaMessage(EncodeObservations({{.server = 7}})));
  CHECK(!DecodeQuotaMessage("no datagram"));
}

}  // namespace cicadadrum
