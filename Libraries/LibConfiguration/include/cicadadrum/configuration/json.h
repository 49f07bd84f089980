// Decoding of JSON with comments according to a Cap'n Proto schema, and
// encoding of JSON.

#ifndef CICADADRUM_CONFIGURATION_JSON_H_
#define CICADADRUM_CONFIGURATION_JSON_H_

#include <string>

#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <capnp/schema.h>
#include <boost/leaf.hpp>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

// Decodes `text`, which may contain comments, into a new root of type `schema`.
// `source` names the text in error messages, usually as a file path. Unknown or
// repeated keys, wrong types, out-of-range numbers and unknown enumerants are
// errors; the message contains the key path, the value and what is allowed.
// Error: `code`.
boost::leaf::result<void> DecodeJson(const std::string& text,
                                     const std::string& source,
                                     ErrorCode code,
                                     capnp::StructSchema schema,
                                     capnp::MessageBuilder& message);

// Decodes `text` as the generated type T, with the checks and errors of
// DecodeJson. The result is valid only while `message` exists.
template <typename T>
boost::leaf::result<typename T::Reader> DecodeJsonAs(
    const std::string& text,
    const std::string& source,
    ErrorCode code,
    capnp::MessageBuilder& message) {
  BOOST_LEAF_CHECK(
      DecodeJson(text, source, code, capnp::Schema::from<T>(), message));
  return message.getRoot<T>().asReader();
}

// Decodes a JSON message of another system. Keys that the schema does not
// contain are ignored, comments are not allowed and wrong types are errors.
// Error: `code`.
boost::leaf::result<void> DecodeForeignJson(const std::string& text,
                                            const std::string& source,
                                            ErrorCode code,
                                            capnp::StructSchema schema,
                                            capnp::MessageBuilder& message);

// Decodes a JSON message of another system as the generated type T. The result
// is valid only while `message` exists. Error: `code`.
template <typename T>
boost::leaf::result<typename T::Reader> DecodeForeignJsonAs(
    const std::string& text,
    const std::string& source,
    ErrorCode code,
    capnp::MessageBuilder& message) {
  BOOST_LEAF_CHECK(
      DecodeForeignJson(text, source, code, capnp::Schema::from<T>(), message));
  return message.getRoot<T>().asReader();
}

// Encodes a struct as JSON text. 64-bit integers become strings, as the JSON
// mapping of Cap'n Proto specifies.
std::string EncodeJson(capnp::DynamicStruct::Reader value);

// Returns the content of a file. Error: kFileUnreadable.
boost::leaf::result<std::string> ReadFile(const std::string& path);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONFIGURATION_JSON_H_
