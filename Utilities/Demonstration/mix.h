// The mix of work of a demonstration run.

#ifndef CICADADRUM_DEMONSTRATION_MIX_H_
#define CICADADRUM_DEMONSTRATION_MIX_H_

#include <string>
#include <vector>

#include <boost/leaf.hpp>

#include "cicadadrum/base/time.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

struct Stream {
  std::string customer;
  std::string region;
  std::string service;
  RequestClass request_class = RequestClass::kRoutine;
  double requests_per_second = 0;
  std::uint32_t body_bytes = 0;
  Duration deadline{};
};

struct Mix {
  Deployment deployment;
  std::vector<BackendServer> servers;
  std::string leaving_service;
  std::vector<Stream> streams;
};

// Errors: kFileUnreadable, kInvalidSettings.
boost::leaf::result<Mix> LoadMix(const std::string& path);

}  // namespace cicadadrum

#endif  // CICADADRUM_DEMONSTRATION_MIX_H_
