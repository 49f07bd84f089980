// Encodes block updates as packed Cap'n Proto messages.

#include "cicadadrum/lookup_codec/block_update_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <boost/leaf/error.hpp>
#include <cstring>
#include <map>
#include <utility>
#include <vector>

#include "cicadadrum/base/error.h"
#include "schemas/lookup.capnp.h"

namespace cicadadrum {

namespace {

using Column = std::map<std::uint64_t, SiteId>;  // Key: address.

// Limit in words of how much of a message is read, enough for the largest
// number of changes and the columns that contain them.
constexpr std::uint64_t kTraversalWords = 4 * kMaxChangesPerMessage;

kj::ArrayPtr<const kj::byte> BytesOf(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

void WriteColumn(schema::BlockColumn::Builder builder,
                 AddressFamily family,
                 std::uint8_t length,
                 const Column& column) {
  builder.setFamily(family == AddressFamily::kIpv4
                        ? schema::AddressFamily::IPV4
                        : schema::AddressFamily::IPV6);
  builder.setLength(length);
  const auto count = static_cast<unsigned>(column.size());
  auto addresses = builder.initAddresses(count);
  auto sites = builder.initSites(count);
  unsigned i = 0;
  for (const auto& [address, site] : column) {
    addresses.set(i, address);
    sites[i++] = site;
  }
}

boost::leaf::error_id Invalid(std::string detail) {
  return boost::leaf::new_error(
      Error{ErrorCode::kInvalidMessage, std::move(detail)});
}

boost::leaf::result<void> ReadColumn(schema::BlockColumn::Reader column,
                                     BlockUpdate& update) {
  const auto addresses = column.getAddresses();
  const auto sites = column.getSites();
  if (addresses.size() != sites.size())
    return Invalid("a column of a block update has " +
                   std::to_string(addresses.size()) + " addresses and " +
                   std::to_string(sites.size()) + " sites");
  if (update.changes.size() + addresses.size() > kMaxChangesPerMessage)
    return Invalid("a block update has more than " +
                   std::to_string(kMaxChangesPerMessage) + " changes");
  const schema::AddressFamily family = column.getFamily();
  if (family > schema::AddressFamily::IPV6)
    return Invalid("a column of a block update has an unknown address family");
  const AddressFamily core_family = family == schema::AddressFamily::IPV4
                                        ? AddressFamily::kIpv4
                                        : AddressFamily::kIpv6;
  for (unsigned i = 0; i < addresses.size(); ++i) {
    update.changes.push_back(
        {{core_family, addresses[i], column.getLength()}, sites[i]});
  }
  return {};
}

boost::leaf::result<BlockUpdate> ReadUpdate(std::string_view bytes) {
  kj::ArrayInputStream stream(BytesOf(bytes));
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kTraversalWords;
  capnp::PackedMessageReader message(stream, options);
  const auto root = message.getRoot<schema::BlockUpdate>();
  BlockUpdate update{root.getBase(), root.getVersion(), {}};
  for (const auto column : root.getColumns())
    BOOST_LEAF_CHECK(ReadColumn(column, update));
  return update;
}

}  // namespace

std::string EncodeBlockUpdate(const BlockUpdate& update) {
  std::map<std::pair<AddressFamily, std::uint8_t>, Column> columns;
  for (const BlockChange& change : update.changes) {
    Column& column = columns[{change.block.family, change.block.length}];
    column[change.block.bits] = change.site;
  }
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::BlockUpdate>();
  root.setBase(update.base);
  root.setVersion(update.version);
  auto list = root.initColumns(static_cast<unsigned>(columns.size()));
  unsigned i = 0;
  for (const auto& [key, column] : columns)
    WriteColumn(list[i++], key.first, key.second, column);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

boost::leaf::result<BlockUpdate> DecodeBlockUpdate(std::string_view bytes) {
  // Cap'n Proto throws exceptions for corrupt messages; they are converted to
  // errors here.
  try {
    return ReadUpdate(bytes);
  } catch (const kj::Exception& exception) {
    return Invalid(std::string("a block update can't be read: ") +
                   exception.getDescription().cStr());
  }
}

}  // namespace cicadadrum
