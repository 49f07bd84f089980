// JSON with comments, checked against and decoded by a Cap'n Proto schema.

#ifndef CICADADRUM_CONFIGURATION_JSON_H_
#define CICADADRUM_CONFIGURATION_JSON_H_

#include <string>

#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <capnp/schema.h>
#include <boost/leaf.hpp>

#include "cicadadrum/base/error.h"

namespace cicadadrum {

// Decodes `text` into a new root of type `schema`. `source` names the text in
// error messages. Unknown or repeated keys, wrong types, out-of-range numbers
// and unknown enumerants are refused with the key path, the value and what is
// allowed. Error: `code`.
boost::leaf::result<void> DecodeJson(const std::string& text,
                                     const std::string& source,
                                     ErrorCode code,
                                     capnp::StructSchema schema,
                                     capnp::MessageBuilder& message);

// Decodes `text` as the generated type T. The result stays valid as long as
// `message`.
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

// Decodes a message of another system, which may hold keys that this one does
// not know. Wrong types are refused. Error: `code`.
boost::leaf::result<void> DecodeForeignJson(const std::string& text,
                                            const std::string& source,
                                            ErrorCode code,
                                            capnp::StructSchema schema,
                                            capnp::MessageBuilder& message);

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

// Encodes a struct as JSON text. 64-bit integers become strings, as Cap'n
// Proto's JSON mapping has them.
std::string EncodeJson(capnp::DynamicStruct::Reader value);

// Reads a whole file. Error: kFileUnreadable.
boost::leaf::result<std::string> ReadFile(const std::string& path);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONFIGURATION_JSON_H_
