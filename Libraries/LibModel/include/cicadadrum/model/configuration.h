// The configuration that operators edit: the plan of each client account and
// the limits of each plan.

#ifndef CICADADRUM_MODEL_CONFIGURATION_H_
#define CICADADRUM_MODEL_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cicadadrum/model/request.h"

namespace cicadadrum {

struct ClientAccount {
  std::string name;
  std::string plan;
  bool operator==(const ClientAccount&) const = default;
};

// Permissions and limits of the client accounts that have this plan.
struct Plan {
  std::string name;
  // Services, classes and regions that requests may use; none is empty.
  std::vector<std::string> services;
  std::vector<RequestClass> classes;
  std::vector<std::string> regions;
  // Rate limit per client account, summed over all entry VMs.
  std::uint32_t requests_per_second = 0;
  // Limit of requests in progress per client account, summed over all entry
  // VMs.
  std::uint32_t concurrency = 0;
  std::uint64_t max_body_bytes = 0;
  bool operator==(const Plan&) const = default;
};

// One version of the lists of client accounts and plans. A later configuration
// has a higher version; version 0 means that no configuration is known.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<ClientAccount>
      client_accounts;      // Names are unique; each plan exists in `plans`.
  std::vector<Plan> plans;  // Names are unique.
  bool operator==(const Configuration&) const = default;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_MODEL_CONFIGURATION_H_
