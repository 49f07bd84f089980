// The fixed parts of a deployment (regions, services, entry VMs) and the
// backend servers that the platform lists.

#ifndef CICADADRUM_MODEL_DEPLOYMENT_H_
#define CICADADRUM_MODEL_DEPLOYMENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/model/request.h"

namespace cicadadrum {

struct Region {
  std::string name;
  std::vector<std::string> failure_domains;  // Not empty.
};

struct Service {
  std::string name;
  std::vector<RequestClass> classes;
};

// An entry VM, which receives requests from callers.
struct EntryVm {
  std::string name;
  std::string region;
  std::string failure_domain;
  std::string caller_address;           // IP:port for callers and operators.
  std::string peer_address;             // IP:port for other entry VMs.
  double link_megabits_per_second = 0;  // 0 if unknown.
  double processor_share = 0;           // In cores; 0 if unknown.
  bool operator==(const EntryVm&) const = default;
};

// Settings that all entry VMs of one deployment share.
struct Deployment {
  std::string name;
  std::vector<Region> regions;
  std::vector<Service> services;
  std::vector<EntryVm> entries;
  // Bandwidth in each direction between each pair of regions.
  std::uint32_t link_megabits_per_second = 0;
  // One-way delays between regions, and between failure domains of a region.
  Duration region_delay{};
  Duration domain_delay{};
  // Largest part of the load that a shift moves per `shift_window`, 1 to 100.
  std::uint32_t shift_cap_percent = 0;
  Duration shift_window{};
  std::string platform_address;  // IP:port.
};

// A backend server as the platform lists it.
struct BackendServer {
  std::string name;
  std::string service;
  std::string region;
  std::string failure_domain;
  std::string address;      // IP:port.
  std::uint32_t slots = 0;  // Requests that the server runs concurrently.
  std::uint32_t connections = 0;
  bool leaving = false;  // The server drains and gets no new requests.
  bool operator==(const BackendServer&) const = default;
};

// Identifies a pool: the backend servers of one service in one region.
struct PoolKey {
  std::string region;
  std::string service;
  auto operator<=>(const PoolKey&) const = default;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_MODEL_DEPLOYMENT_H_
