// Decoding of JSON with comments according to a Cap'n Proto schema.
//
// capnp::JsonCodec does not accept comments, and its errors do not contain a
// key path. Therefore nlohmann-json parses the text first, the functions below
// compare the document with the schema, and the codec decodes the document
// last.

#include "cicadadrum/configuration/json.h"

#include <capnp/compat/json.h>
#include <kj/exception.h>

#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

#include "cicadadrum/configuration/json_parts.h"

namespace cicadadrum {

namespace {

using Json = nlohmann::json;
using Problem = std::optional<std::string>;

// Id of the annotation `name` in capnp/compat/json.capnp; the header that is
// generated from it has no constant for it.
constexpr std::uint64_t kJsonNameAnnotation = 0xfa5b1fd61c2e7c3d;

// Parser callback that detects repeated keys, of which the parser would
// silently keep only one.
struct RepeatedKeyCheck {
  std::vector<std::set<std::string>> keys_by_depth;
  Problem problem;

  bool operator()(int depth, Json::parse_event_t event, Json& parsed) {
    const auto level = static_cast<std::size_t>(depth);
    if (keys_by_depth.size() <= level + 1)
      keys_by_depth.resize(level + 2);
    if (event == Json::parse_event_t::object_start)
      keys_by_depth[level + 1].clear();
    if (event == Json::parse_event_t::key &&
        !keys_by_depth[level].insert(parsed.get<std::string>()).second)
      problem = "key '" + parsed.get<std::string>() + "' is given twice";
    return true;
  }
};

Problem CheckValue(const Json& value,
                   const std::string& path,
                   capnp::Type type);

std::string DescribeInvalidValue(const std::string& path,
                                 const Json& value,
                                 const std::string& allowed) {
  return path + ": " + value.dump() + " is not allowed; expected " + allowed;
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names)
    joined += (joined.empty() ? "" : ", ") + name;
  return joined;
}

template <typename Integer>
Problem CheckInteger(const Json& value, const std::string& path) {
  using Limits = std::numeric_limits<Integer>;
  const std::string allowed = "an integer from " +
                              std::to_string(Limits::min()) + " to " +
                              std::to_string(Limits::max());
  // The codec writes 64-bit integers as strings and accepts strings and
  // numbers.
  if (value.is_string() && sizeof(Integer) == 8) {
    const std::string& text = value.get_ref<const std::string&>();
    const bool is_decimal =
        !text.empty() && text.size() <= 20 &&
        text.find_first_not_of("0123456789") == std::string::npos;
    return is_decimal ? std::nullopt
                      : Problem(DescribeInvalidValue(path, value, allowed));
  }
  const bool fits = value.is_number_unsigned()
                        ? std::in_range<Integer>(value.get<std::uint64_t>())
                        : value.is_number_integer() &&
                              std::in_range<Integer>(value.get<std::int64_t>());
  return fits ? std::nullopt
              : Problem(DescribeInvalidValue(path, value, allowed));
}

Problem CheckEnum(const Json& value,
                  const std::string& path,
                  capnp::EnumSchema schema) {
  std::vector<std::string> names;
  for (const auto enumerant : schema.getEnumerants())
    names.emplace_back(enumerant.getProto().getName().cStr());
  if (value.is_string() && std::find(names.begin(), names.end(),
                                     value.get<std::string>()) != names.end())
    return std::nullopt;
  return DescribeInvalidValue(path, value, "one of " + JoinNames(names));
}

Problem CheckList(const Json& value,
                  const std::string& path,
                  capnp::ListSchema schema) {
  if (!value.is_array())
    return DescribeInvalidValue(path, value, "a list");
  for (std::size_t i = 0; i < value.size(); ++i) {
    auto problem = CheckValue(value[i], path + "[" + std::to_string(i) + "]",
                              schema.getElementType());
    if (problem)
      return problem;
  }
  return std::nullopt;
}

// Returns the key of the field in JSON: the name that the schema gives it for
// JSON, or its own name.
std::string JsonKeyOf(capnp::StructSchema::Field field) {
  for (const auto annotation : field.getProto().getAnnotations()) {
    if (annotation.getId() == kJsonNameAnnotation)
      return annotation.getValue().getText();
  }
  return field.getProto().getName();
}

Problem CheckStruct(const Json& value,
                    const std::string& path,
                    capnp::StructSchema schema) {
  if (!value.is_object())
    return DescribeInvalidValue(path.empty() ? "document" : path, value,
                                "an object");
  std::vector<std::string> keys;
  for (const auto field : schema.getFields())
    keys.push_back(JsonKeyOf(field));
  for (const auto& [key, member] : value.items()) {
    const std::string member_path = path.empty() ? key : path + "." + key;
    const auto found = std::find(keys.begin(), keys.end(), key);
    if (found == keys.end())
      return member_path + ": unknown key; known keys are " + JoinNames(keys);
    const auto index = static_cast<unsigned>(found - keys.begin());
    auto problem =
        CheckValue(member, member_path, schema.getFields()[index].getType());
    if (problem)
      return problem;
  }
  return std::nullopt;
}

Problem CheckValue(const Json& value,
                   const std::string& path,
                   capnp::Type type) {
  switch (type.which()) {
    case capnp::schema::Type::BOOL:
      return value.is_boolean()
                 ? std::nullopt
                 : Problem(DescribeInvalidValue(path, value, "true or false"));
    case capnp::schema::Type::TEXT:
      return value.is_string()
                 ? std::nullopt
                 : Problem(DescribeInvalidValue(path, value, "a string"));
    case capnp::schema::Type::FLOAT64:
      return value.is_number()
                 ? std::nullopt
                 : Problem(DescribeInvalidValue(path, value, "a number"));
    case capnp::schema::Type::UINT16:
      return CheckInteger<std::uint16_t>(value, path);
    case capnp::schema::Type::UINT32:
      return CheckInteger<std::uint32_t>(value, path);
    case capnp::schema::Type::UINT64:
      return CheckInteger<std::uint64_t>(value, path);
    case capnp::schema::Type::INT64:
      return CheckInteger<std::int64_t>(value, path);
    case capnp::schema::Type::ENUM:
      return CheckEnum(value, path, type.asEnum());
    case capnp::schema::Type::LIST:
      return CheckList(value, path, type.asList());
    case capnp::schema::Type::STRUCT:
      return CheckStruct(value, path, type.asStruct());
    default:
      return path + ": values of this type can't be given in JSON";
  }
}

boost::leaf::error_id Fail(ErrorCode code,
                           const std::string& source,
                           const std::string& problem) {
  return boost::leaf::new_error(Error{code, source + ": " + problem});
}

}  // namespace

boost::leaf::result<void> DecodeJson(const std::string& text,
                                     const std::string& source,
                                     ErrorCode code,
                                     capnp::StructSchema schema,
                                     capnp::MessageBuilder& message) {
  RepeatedKeyCheck repeated;
  const auto callback = [&repeated](int depth, Json::parse_event_t event,
                                    Json& parsed) {
    return repeated(depth, event, parsed);
  };
  const Json json = Json::parse(text, callback, /*allow_exceptions=*/false,
                                /*ignore_comments=*/true);
  if (json.is_discarded())
    return Fail(code, source, "not a JSON document");
  if (repeated.problem)
    return Fail(code, source, *repeated.problem);
  const Problem problem = CheckStruct(json, "", schema);
  if (problem)
    return Fail(code, source, *problem);
  capnp::JsonCodec codec;
  codec.handleByAnnotation(schema);
  codec.setRejectUnknownFields(true);
  const std::string without_comments = json.dump();
  auto root = message.initRoot<capnp::DynamicStruct>(schema);
  const auto failure = kj::runCatchingExceptions([&] {
    codec.decode(kj::ArrayPtr(without_comments.data(), without_comments.size()),
                 root);
  });
  KJ_IF_MAYBE (exception, failure)
    return Fail(code, source, exception->getDescription().cStr());
  return {};
}

boost::leaf::result<void> DecodeForeignJson(const std::string& text,
                                            const std::string& source,
                                            ErrorCode code,
                                            capnp::StructSchema schema,
                                            capnp::MessageBuilder& message) {
  capnp::MallocMessageBuilder parsed;
  BOOST_LEAF_AUTO(json, ParseForeignJson(text, source, code, parsed));
  return DecodeForeignPart(json, source, code, schema, message);
}

std::string EncodeJson(capnp::DynamicStruct::Reader value) {
  capnp::JsonCodec codec;
  codec.handleByAnnotation(value.getSchema());
  codec.setPrettyPrint(true);
  return codec.encode(value).cStr();
}

boost::leaf::result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf()))
    return boost::leaf::new_error(
        Error{ErrorCode::kFileUnreadable, path + ": can't be read"});
  return content.str();
}

}  // namespace cicadadrum
