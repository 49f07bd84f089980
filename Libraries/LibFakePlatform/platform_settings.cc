// Parsing of the settings and control messages of the platform's test double.

#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <kj/exception.h>
#include <schemas/fakes.capnp.h>

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include "cicadadrum/base/error.h"
#include "cicadadrum/fake_platform/fake_platform.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;

std::string ToString(capnp::Text::Reader text) {
  return std::string(text.begin(), text.size());
}

std::vector<BackendServer> ReadVms(capnp::List<schema::Vm>::Reader in) {
  std::vector<BackendServer> vms;
  for (const auto vm : in) {
    vms.push_back({.name = ToString(vm.getName()),
                   .service = ToString(vm.getService()),
                   .region = ToString(vm.getRegion()),
                   .failure_domain = ToString(vm.getFailureDomain()),
                   .address = ToString(vm.getAddress()),
                   .slots = vm.getSlots(),
                   .connections = vm.getConnections(),
                   .leaving = vm.getState() == schema::VmState::LEAVING});
  }
  return vms;
}

// Parses JSON without comments into `root`. Unknown fields are errors, so that
// a misspelt field is reported.
leaf::result<void> DecodeStrictly(const std::string& json,
                                  capnp::DynamicStruct::Builder root,
                                  ErrorCode code) {
  capnp::JsonCodec codec;
  codec.setRejectUnknownFields(true);
  const auto failure = kj::runCatchingExceptions([&] {
    codec.decode(kj::ArrayPtr<const char>(json.data(), json.size()), root);
  });
  KJ_IF_MAYBE (exception, failure) {
    return leaf::new_error(Error{code, exception->getDescription().cStr()});
  }
  return {};
}

PlatformMode ParseMode(schema::PlatformMode mode) {
  switch (mode) {
    case schema::PlatformMode::UP:
      return PlatformMode::kUp;
    case schema::PlatformMode::SLOW:
      return PlatformMode::kSlow;
    case schema::PlatformMode::DOWN:
      return PlatformMode::kDown;
    case schema::PlatformMode::SILENT:
      return PlatformMode::kDropRequest;
    case schema::PlatformMode::LOSE_ANSWERS:
      return PlatformMode::kDropResponse;
  }
  return PlatformMode::kUp;
}

}  // namespace

leaf::result<PlatformSettings> ParsePlatformSettings(const std::string& json) {
  const auto parsed = nlohmann::json::parse(json, nullptr, false, true);
  if (parsed.is_discarded())
    return leaf::new_error(
        Error{ErrorCode::kInvalidSettings, "the settings are not valid JSON"});
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<schema::PlatformSettings>();
  BOOST_LEAF_CHECK(
      DecodeStrictly(parsed.dump(), root, ErrorCode::kInvalidSettings));
  const auto in = root.asReader();
  return PlatformSettings{
      .listen = ToString(in.getListen()),
      .vm_list_lag = Milliseconds(in.getVmListLagMilliseconds()),
      .vms = ReadVms(in.getVms()),
      .max_body_bytes = in.getMaxBodyBytes()};
}

leaf::result<PlatformControl> ParsePlatformControl(const std::string& json) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<schema::PlatformControl>();
  BOOST_LEAF_CHECK(DecodeStrictly(json, root, ErrorCode::kInvalidMessage));
  const auto in = root.asReader();
  return PlatformControl{.mode = ParseMode(in.getMode()),
                         .requests = in.getRequests(),
                         .delay = Milliseconds(in.getDelayMilliseconds()),
                         .set_vms = in.getSetVms(),
                         .vms = ReadVms(in.getVms())};
}

}  // namespace cicadadrum
