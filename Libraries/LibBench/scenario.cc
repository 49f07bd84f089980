// Decodes scenario files with the schema Schemas/scenario.capnp.

#include "cicadadrum/bench/scenario.h"

#include <capnp/compat/json.h>
#include <capnp/dynamic.h>
#include <capnp/message.h>

#include <boost/leaf/error.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "cicadadrum/base/error.h"
#include "schemas/scenario.capnp.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;

// Maps an enumerant of the schema to the enumerator of the same name. Returns
// the first enumerator if there is none of that name.
template <typename Enum, typename SchemaEnum>
Enum MapEnum(SchemaEnum value) {
  const capnp::DynamicEnum dynamic = capnp::toDynamic(value);
  KJ_IF_MAYBE (enumerant, dynamic.getEnumerant()) {
    const auto parsed = ParseName<Enum>(enumerant->getProto().getName().cStr());
    if (parsed)
      return *parsed;
  }
  return EnumNames<Enum>::kTable.front().value;
}

// In the schema an end of 0 means that a stream or disturbance does not end.
TimePoint EndOf(std::uint32_t milliseconds) {
  return milliseconds == 0 ? kNever : TimePoint(Milliseconds(milliseconds));
}

Stream MapStream(schema::Stream::Reader reader) {
  return {.service = MapEnum<ServiceRole>(reader.getService()),
          .request_class = MapEnum<RequestClass>(reader.getRequestClass()),
          .share = reader.getShare(),
          .service_time = Microseconds(reader.getServiceMicroseconds()),
          .from = TimePoint(Milliseconds(reader.getFromMilliseconds())),
          .to = EndOf(reader.getToMilliseconds())};
}

Disturbance MapDisturbance(schema::Disturbance::Reader reader) {
  return {.kind = MapEnum<DisturbanceKind>(reader.getKind()),
          .service = MapEnum<ServiceRole>(reader.getService()),
          .fraction = reader.getFraction(),
          .region = reader.getRegion(),
          .factor = reader.getFactor(),
          .from = TimePoint(Milliseconds(reader.getFromMilliseconds())),
          .to = EndOf(reader.getToMilliseconds()),
          .period = Milliseconds(reader.getPeriodMilliseconds())};
}

leaf::result<void> Decode(const std::string& text,
                          const std::string& path,
                          schema::Scenario::Builder builder) {
  const nlohmann::json json = nlohmann::json::parse(
      text, nullptr, /*allow_exceptions=*/false, /*ignore_comments=*/true);
  if (json.is_discarded())
    return leaf::new_error(
        Error{ErrorCode::kInvalidSettings, path + " is not JSON"});
  const std::string stripped = json.dump();
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  const auto failed = kj::runCatchingExceptions([&] {
    codec.decode(kj::ArrayPtr<const char>(stripped.data(), stripped.size()),
                 builder);
  });
  KJ_IF_MAYBE (exception, failed) {
    return leaf::new_error(
        Error{ErrorCode::kInvalidSettings,
              path + ": " + exception->getDescription().cStr()});
  }
  return {};
}

// Adds a scenario file and the parts that it includes to `scenario`. A file
// that is included twice is added once.
leaf::result<void> Include(const std::string& folder,
                           const std::string& name,
                           std::set<std::string>& included,
                           Scenario& scenario) {
  if (!included.insert(name).second)
    return {};
  const std::string path = folder + "/" + name + ".json";
  std::ifstream file(path);
  if (!file)
    return leaf::new_error(
        Error{ErrorCode::kFileUnreadable, path + " can't be read"});
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  capnp::MallocMessageBuilder message;
  const auto builder = message.initRoot<schema::Scenario>();
  BOOST_LEAF_CHECK(Decode(text, path, builder));
  const schema::Scenario::Reader reader = builder.asReader();
  for (const auto part : reader.getParts())
    BOOST_LEAF_CHECK(Include(folder, part.cStr(), included, scenario));
  for (const auto stream : reader.getStreams())
    scenario.streams.push_back(MapStream(stream));
  for (const auto disturbance : reader.getDisturbances())
    scenario.disturbances.push_back(MapDisturbance(disturbance));
  scenario.warmup = Milliseconds(reader.getWarmupMilliseconds());
  scenario.end = Milliseconds(reader.getEndMilliseconds());
  return {};
}

}  // namespace

leaf::result<Scenario> LoadScenario(const std::string& folder,
                                    const std::string& name) {
  Scenario scenario;
  scenario.name = name;
  std::set<std::string> included;
  BOOST_LEAF_CHECK(Include(folder, name, included, scenario));
  return scenario;
}

}  // namespace cicadadrum
