// Settings of the backend server test double.

#include <capnp/message.h>

#include "cicadadrum/configuration/json.h"
#include "cicadadrum/fake_backend/fake_backend.h"
#include "schemas/backend.capnp.h"

namespace cicadadrum {

boost::leaf::result<FakeBackendSettings> LoadFakeBackendSettings(
    const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(root, DecodeJsonAs<schema::FakeBackendSettings>(
                            text, path, ErrorCode::kInvalidSettings, message));
  FakeBackendSettings settings{.log_level = root.getLogLevel()};
  for (const auto server_settings : root.getServers()) {
    FakeBackendOptions options;
    options.server = {.name = server_settings.getName(),
                      .service = server_settings.getService(),
                      .region = server_settings.getRegion(),
                      .failure_domain = server_settings.getFailureDomain(),
                      .address = server_settings.getAddress(),
                      .slots = server_settings.getSlots(),
                      .connections = server_settings.getConnections()};
    options.read_time = Microseconds(root.getReadMicroseconds());
    options.write_time = Microseconds(root.getWriteMicroseconds());
    options.bulk_time = Microseconds(root.getBulkMicroseconds());
    options.cold_requests = root.getColdRequests();
    options.cold_factor = root.getColdFactor();
    settings.servers.push_back(options);
  }
  return settings;
}

}  // namespace cicadadrum
