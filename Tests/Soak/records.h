// What the soak test records of a run: the configurations, the callers'
// requests and the arrivals at servers.

#ifndef CICADADRUM_TESTS_SOAK_RECORDS_H_
#define CICADADRUM_TESTS_SOAK_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cicadadrum/base/time.h"
#include "fault_proxy.h"
#include "stand_ins.h"

namespace cicadadrum::platform {

// A configuration and the time of its first write to the store.
struct ConfigurationRecord {
  std::uint64_t version = 0;
  TimePoint acknowledged_at;
  std::vector<ConfiguredRoute> routes;
};

// A request that a caller sent to an entry VM.
struct RequestRecord {
  std::string id;
  std::string host;
  std::string path;
  std::string entry;
  // Number of the entry VM's process: 1 for the first, one more at each start.
  std::uint64_t process = 0;
  // Neither the entry VM nor the store had a fault within kStableWindow before
  // the request was sent.
  bool is_in_touch = false;
  // The store, or the entry VM's link to it, had such a fault, so that the
  // entry VM may have had no way to learn of a configuration.
  bool is_cut_off = false;
  TimePoint sent_at;
  std::uint16_t status = 0;  // 0 if no response arrived.
  TimePoint answered_at = kNever;
  bool said_leaving = false;  // The response says that its server is leaving.
};

// A request that a server accepted: it did not respond with status 421.
struct ArrivalRecord {
  TimePoint at;
  std::string request_id;
  std::string host;
  std::string path;
  std::string server;
  std::string region;  // The server's.
  // The link to the server had a fault within kStableWindow before the arrival
  // and may have held the request up.
  bool may_be_held_up = false;
  bool said_leaving = false;     // The response says so.
  bool asked_for_pause = false;  // The response asks for kServerPause.
  double stated_limit = 0;       // 0 if the response states none.
  bool is_at_cold_server = false;
};

// A change of the link between the entry VMs and a server.
struct LinkChange {
  TimePoint at;
  ProxyMode mode = ProxyMode::kPass;
};

struct SoakRecords {
  std::vector<ConfigurationRecord> configurations;  // By ascending version.
  std::map<std::string, RequestRecord> requests;    // By id.
  std::vector<ArrivalRecord> arrivals;
  // Times of all starts and signals of each entry VM's processes, by its name.
  std::map<std::string, std::vector<TimePoint>> disturbances;
  // History of the link to each server, which passes everything at first.
  std::map<std::string, std::vector<LinkChange>> link_changes;
};

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_SOAK_RECORDS_H_
