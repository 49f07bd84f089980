// Loading of the mix of requests.

#include "mix.h"

#include <capnp/message.h>

#include <filesystem>

#include "cicadadrum/configuration/json.h"
#include "cicadadrum/configuration/settings.h"
#include "schemas/demonstration.capnp.h"
#include "schemas/fakes.capnp.h"

namespace cicadadrum {

namespace {

boost::leaf::result<std::vector<BackendServer>> LoadServers(
    const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(list, DecodeJsonAs<schema::PlatformSettings>(
                            text, path, ErrorCode::kInvalidSettings, message));
  std::vector<BackendServer> servers;
  for (const auto vm : list.getVms()) {
    servers.push_back({.name = vm.getName(),
                       .service = vm.getService(),
                       .region = vm.getRegion(),
                       .failure_domain = vm.getFailureDomain(),
                       .address = vm.getAddress(),
                       .slots = vm.getSlots()});
  }
  return servers;
}

}  // namespace

boost::leaf::result<Mix> LoadMix(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(root, DecodeJsonAs<schema::Mix>(
                            text, path, ErrorCode::kInvalidSettings, message));
  const auto folder = std::filesystem::path(path).parent_path();
  Mix mix{.leaving_service = root.getLeavingService()};
  BOOST_LEAF_ASSIGN(
      mix.deployment,
      LoadDeployment((folder / root.getDeploymentFile().cStr()).string()));
  BOOST_LEAF_ASSIGN(
      mix.servers,
      LoadServers((folder / root.getPlatformFile().cStr()).string()));
  for (const auto stream : root.getStreams()) {
    mix.streams.push_back(
        {.client_account = stream.getClientAccount(),
         .region = stream.getRegion(),
         .service = stream.getService(),
         .request_class = static_cast<RequestClass>(stream.getRequestClass()),
         .requests_per_second = stream.getRequestsPerSecond(),
         .body_bytes = stream.getBodyBytes(),
         .deadline = Milliseconds(stream.getDeadlineMilliseconds())});
  }
  return mix;
}

}  // namespace cicadadrum
