// What operators edit: customers' plans, and what each plan may use.

#ifndef CICADADRUM_MODEL_CONFIGURATION_H_
#define CICADADRUM_MODEL_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cicadadrum/model/request.h"

namespace cicadadrum {

struct Customer {
  std::string name;
  std::string plan;
  bool operator==(const Customer&) const = default;
};

struct Plan {
  std::string name;
  std::vector<std::string> services;
  std::vector<RequestClass> classes;
  std::vector<std::string> regions;
  std::uint32_t requests_per_second =
      0;  // Of one customer, over all entry VMs.
  std::uint32_t concurrency =
      0;  // Requests in progress of one customer, over all entry VMs.
  std::uint64_t max_body_bytes = 0;
  bool operator==(const Plan&) const = default;
};

// One version of the two lists. Versions only grow; version 0 means that none
// is known.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Customer>
      customers;            // Names are unique; each plan exists in `plans`.
  std::vector<Plan> plans;  // Names are unique.
  bool operator==(const Configuration&) const = default;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_MODEL_CONFIGURATION_H_
