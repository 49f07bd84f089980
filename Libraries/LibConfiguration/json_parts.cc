// Parses a JSON message with the codec of Cap'n Proto and decodes its parts.

#include "cicadadrum/configuration/json_parts.h"

#include <capnp/compat/json.h>
#include <capnp/dynamic.h>
#include <kj/exception.h>

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

leaf::error_id Fail(ErrorCode code,
                    const std::string& source,
                    const kj::Exception& exception) {
  return leaf::new_error(
      Error{code, source + ": " + exception.getDescription().cStr()});
}

}  // namespace

leaf::result<capnp::json::Value::Reader> ParseForeignJson(
    const std::string& text,
    const std::string& source,
    ErrorCode code,
    capnp::MessageBuilder& message) {
  const capnp::JsonCodec codec;
  auto root = message.initRoot<capnp::json::Value>();
  const auto failure = kj::runCatchingExceptions(
      [&] { codec.decodeRaw(kj::ArrayPtr(text.data(), text.size()), root); });
  KJ_IF_MAYBE (exception, failure)
    return Fail(code, source, *exception);
  return root.asReader();
}

std::optional<capnp::json::Value::Reader> FindMember(
    capnp::json::Value::Reader object,
    std::string_view key) {
  if (!object.isObject())
    return std::nullopt;
  for (const auto member : object.getObject()) {
    if (std::string_view(member.getName().cStr()) == key)
      return member.getValue();
  }
  return std::nullopt;
}

void AddUnknownKeys(capnp::json::Value::Reader object,
                    capnp::StructSchema schema,
                    std::set<std::string>& keys) {
  if (!object.isObject())
    return;
  for (const auto member : object.getObject()) {
    if (schema.findFieldByName(member.getName()) == nullptr)
      keys.emplace(member.getName().cStr());
  }
}

leaf::result<void> DecodeForeignPart(capnp::json::Value::Reader part,
                                     const std::string& source,
                                     ErrorCode code,
                                     capnp::StructSchema schema,
                                     capnp::MessageBuilder& message) {
  const capnp::JsonCodec codec;
  auto root = message.initRoot<capnp::DynamicStruct>(schema);
  const auto failure =
      kj::runCatchingExceptions([&] { codec.decode(part, root); });
  KJ_IF_MAYBE (exception, failure)
    return Fail(code, source, *exception);
  return {};
}

}  // namespace cicadadrum
