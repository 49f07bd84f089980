// Tests of calls between a client and a server of this version.

#include "peer_fixture.h"

namespace cicadadrum {

// Guards against a field that is lost or changed between the struct at the
// sender and the struct at the receiver.
TEST_CASE("a slot request and its answer arrive unchanged") {
  PeerFixture fixture;
  const auto result = fixture.Ask(5);
  fixture.RunUntil([&] { return !fixture.record.slots.empty(); });
  const AskedSlot& asked = fixture.record.slots[0];
  CHECK(asked.peer == PeerInfo{"entry-1", {7, 8}, 42});
  CHECK(asked.pool == fixture.pool);
  CHECK(asked.ask.entry == "entry-1");
  CHECK(asked.ask.id == 5);
  CHECK(asked.ask.customer == "roads");
  CHECK(asked.ask.request_class == RequestClass::kUrgent);
  CHECK(asked.ask.deadline > SteadyNow() + Seconds(30));
  CHECK(asked.ask.avoid == std::vector<std::string>{"sb-1", "sb-2"});
  CHECK(asked.ask.preferred == "sb-3");
  CHECK(asked.ask.fingerprint == 11);
  CHECK(asked.ask.body_bytes == 12);

  CHECK(fixture.Grant(5, 77));
  fixture.RunUntil([&] { return result->has_value(); });
  REQUIRE((*result)->outcome == CallOutcome::kAnswered);
  CHECK((*result)->peer == PeerInfo{"owner", {7, 8}, 42});
  const auto* grant = std::get_if<SlotGrant>(&(*result)->value);
  REQUIRE(grant != nullptr);
  CHECK(grant->entry == "entry-1");
  CHECK(grant->id == 5);
  CHECK(grant->lease == 77);
  CHECK(grant->server == "sb-3");
  CHECK(grant->address == "127.0.0.1:9");
  CHECK_FALSE(fixture.Grant(5, 78));
}

}  // namespace cicadadrum
