// Calculates the size of a message in the encoding of Schemas/peer.capnp.

#include "cicadadrum/fleet/traffic.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "schemas/peer.capnp.h"

namespace cicadadrum {

namespace {

static_assert(EnumNames<TrafficKind>::kTable.size() == kTrafficKindCount);

// The casts below need the same order of kinds and states in the schema and in
// the enumerations of LibMembership.
static_assert(static_cast<int>(schema::ExchangeKind::PULL) ==
              static_cast<int>(ExchangeKind::kPull));
static_assert(static_cast<int>(schema::MemberState::LEFT) ==
              static_cast<int>(MemberState::kLeft));

void SetMember(schema::MemberUpdate::Builder builder,
               const MemberUpdate& member) {
  builder.setName(member.vm.name);
  builder.setRegion(member.vm.region);
  builder.setFailureDomain(member.vm.failure_domain);
  builder.setCallerAddress(member.vm.caller_address);
  builder.setPeerAddress(member.vm.peer_address);
  builder.initIncarnation().setHigh(member.incarnation);
  builder.setSequence(member.sequence);
  builder.setState(static_cast<schema::MemberState>(member.state));
}

void SetMessage(schema::ExchangeMessage::Builder builder,
                const ExchangeMessage& message) {
  builder.setKind(static_cast<schema::ExchangeKind>(message.kind));
  builder.setSequence(message.sequence);
  if (!message.target.empty())
    builder.setTarget(message.target);
  builder.setDigest(message.digest);
  auto members =
      builder.initMembers(static_cast<unsigned>(message.members.size()));
  for (unsigned i = 0; i < members.size(); ++i)
    SetMember(members[i], message.members[i]);
  auto items = builder.initItems(static_cast<unsigned>(message.items.size()));
  for (unsigned i = 0; i < items.size(); ++i) {
    items[i].setKey(message.items[i].key);
    items[i].setVersion(message.items[i].version);
    if (!message.items[i].value.empty())
      items[i].setValue(message.items[i].value);
  }
}

}  // namespace

std::uint64_t EncodedBytes(const ExchangeMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto params = builder.initRoot<schema::EntryPeer::ExchangeParams>();
  auto header = params.initHeader();
  header.setProtocolVersion(schema::PROTOCOL_VERSION);
  header.setSender(message.sender);
  header.initIncarnation().setHigh(message.incarnation);
  header.setConfigurationVersion(message.configuration_version);
  SetMessage(params.initMessage(), message);
  return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

}  // namespace cicadadrum
