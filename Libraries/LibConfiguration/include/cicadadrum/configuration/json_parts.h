// Decoding of a JSON message of another system part by part, so that a part
// with an unexpected form costs that part only.

#ifndef CICADADRUM_CONFIGURATION_JSON_PARTS_H_
#define CICADADRUM_CONFIGURATION_JSON_PARTS_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <capnp/compat/json.capnp.h>
#include <capnp/message.h>
#include <capnp/schema.h>
#include <boost/leaf.hpp>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

// Parses `text` without a schema. `source` names the text in error messages.
// The result is valid only while `message` exists. Error: `code` if the text is
// not JSON or is nested too deeply.
boost::leaf::result<capnp::json::Value::Reader> ParseForeignJson(
    const std::string& text,
    const std::string& source,
    ErrorCode code,
    capnp::MessageBuilder& message);

// Returns the value of the key, or nothing if `object` is no object or lacks
// the key.
std::optional<capnp::json::Value::Reader> FindMember(
    capnp::json::Value::Reader object,
    std::string_view key);

// Adds the keys of `object` that are no fields of `schema` to `keys`.
void AddUnknownKeys(capnp::json::Value::Reader object,
                    capnp::StructSchema schema,
                    std::set<std::string>& keys);

// Decodes `part` into a new root of type `schema`. Keys that the schema does
// not contain are ignored. Error: `code` if a value has another type than its
// field.
boost::leaf::result<void> DecodeForeignPart(capnp::json::Value::Reader part,
                                            const std::string& source,
                                            ErrorCode code,
                                            capnp::StructSchema schema,
                                            capnp::MessageBuilder& message);

// Decodes `part` as the generated type T. The result is valid only until the
// next part is decoded into `message`. Error: `code`.
template <typename T>
boost::leaf::result<typename T::Reader> DecodeForeignPartAs(
    capnp::json::Value::Reader part,
    const std::string& source,
    ErrorCode code,
    capnp::MessageBuilder& message) {
  BOOST_LEAF_CHECK(
      DecodeForeignPart(part, source, code, capnp::Schema::from<T>(), message));
  return message.getRoot<T>().asReader();
}

}  // namespace cicadadrum

#endif  // CICADADRUM_CONFIGURATION_JSON_PARTS_H_
