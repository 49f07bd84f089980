// The mix of requests that a demonstration run sends.

#ifndef CICADADRUM_DEMONSTRATION_MIX_H_
#define CICADADRUM_DEMONSTRATION_MIX_H_

#include <string>
#include <vector>

#include <boost/leaf.hpp>

#include "cicadadrum/base/time.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

// Requests of one client account, region, service and class at a fixed rate.
struct Stream {
  std::string client_account;
  std::string region;
  std::string service;
  RequestClass request_class = RequestClass::kRoutine;
  double requests_per_second = 0;
  std::uint32_t body_bytes = 0;  // Of writes and uploads.
  Duration deadline{};           // Of each request other than an upload.
};

// The deployment under test and the requests to send.
struct Mix {
  Deployment deployment;
  std::vector<BackendServer> servers;  // From the settings of the platform.
  std::string leaving_service;  // Service of the server to mark as leaving.
  std::vector<Stream> streams;
};

// Loads the mix file at `path` and the deployment and platform files that the
// mix names, relative to its folder. Errors: kFileUnreadable, kInvalidSettings,
// and those of LoadDeployment.
boost::leaf::result<Mix> LoadMix(const std::string& path);

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_MIX_H_
