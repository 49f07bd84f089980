// Tests that schema enumerations match the enumerations of the core.

#include <capnp/schema.h>
#include <doctest/doctest.h>
#include <schemas/peer.capnp.h>

#include <cctype>
#include <string>

#include "cicadadrum/peer/messages.h"

namespace cicadadrum {

namespace {

// Returns the name of a schema enumerator in the form of the core's tables.
std::string KebabCase(std::string_view camel_case) {
  std::string name;
  for (const char c : camel_case) {
    if (std::isupper(static_cast<unsigned char>(c)) != 0)
      name += '-';
    name += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return name;
}

template <typename Core, typename Wire>
void CheckSameNames() {
  const auto enumerants = capnp::Schema::from<Wire>().getEnumerants();
  REQUIRE(enumerants.size() == EnumNames<Core>::kTable.size());
  for (const auto enumerant : enumerants) {
    const auto name = enumerant.getProto().getName();
    CHECK(KebabCase({name.begin(), name.size()}) ==
          NameOf(static_cast<Core>(enumerant.getOrdinal())));
  }
}

}  // namespace

// Guards against a value that is added only to the core's or only to the
// schema's enumeration, or at different positions.
TEST_CASE("schema and core enumerations have the same values") {
  CheckSameNames<RequestClass, schema::RequestClass>();
  CheckSameNames<Verdict, schema::Verdict>();
  CheckSameNames<RefusalReason, schema::RefusalReason>();
  CheckSameNames<AttemptOutcome, schema::AttemptOutcome>();
  CheckSameNames<PeerMemberState, schema::MemberState>();
  CheckSameNames<PeerExchangeKind, schema::ExchangeKind>();
  CheckSameNames<discovery::TableFailure, schema::TableFailure>();
}

}  // namespace cicadadrum
