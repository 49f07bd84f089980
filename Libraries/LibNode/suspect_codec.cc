// Encodes the evidence about suspects as items that entry VMs replicate.

#include "cicadadrum/node/suspect_codec.h"

#include <capnp/message.h>
#include <schemas/peer.capnp.h>

#include <algorithm>
#include <boost/leaf.hpp>
#include <charconv>
#include <string>

#include "cicadadrum/base/error.h"
#include "cicadadrum/configuration/json.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

std::optional<std::uint32_t> ParseSlot(std::string_view key) {
  if (!key.starts_with(kSuspectPrefix))
    return std::nullopt;
  key.remove_prefix(kSuspectPrefix.size());
  std::uint32_t slot = 0;
  const char* end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data(), end, slot);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      slot >= routing::kSuspectSlots)
    return std::nullopt;
  return slot;
}

leaf::result<routing::SuspectRecord> DecodeValue(const std::string& value) {
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(document,
                  DecodeForeignJsonAs<schema::SuspectItem>(
                      value, "suspect", ErrorCode::kInvalidMessage, message));
  routing::SuspectRecord record{.fingerprint = document.getFingerprint(),
                                .losses = document.getLosses()};
  const auto servers = document.getServers();
  const unsigned dropped =
      servers.size() -
      std::min<unsigned>(servers.size(), routing::kMaxLostServers);
  for (unsigned i = dropped; i < servers.size(); ++i)
    record.servers.push_back(servers[i]);
  return record;
}

}  // namespace

ItemVersion EncodeSuspect(const routing::SuspectRecord& record) {
  capnp::MallocMessageBuilder message;
  auto document = message.initRoot<schema::SuspectItem>();
  document.setFingerprint(record.fingerprint);
  document.setLosses(record.losses);
  auto servers =
      document.initServers(static_cast<unsigned>(record.servers.size()));
  for (unsigned i = 0; i < servers.size(); ++i)
    servers.set(i, record.servers[i]);
  return {.key = std::string(kSuspectPrefix) + std::to_string(record.slot),
          .version = record.version,
          .value = EncodeJson(document.asReader())};
}

std::optional<routing::SuspectRecord> DecodeSuspect(const ItemVersion& item) {
  const auto slot = ParseSlot(item.key);
  if (!slot)
    return std::nullopt;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<routing::SuspectRecord>> {
        BOOST_LEAF_AUTO(record, DecodeValue(item.value));
        record.slot = *slot;
        record.version = item.version;
        return record;
      },
      [] { return std::optional<routing::SuspectRecord>(); });
}

}  // namespace cicadadrum
