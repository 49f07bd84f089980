// State of the platform's test double: table, object store, VM list and the
// simulated fault. Free functions over a plain struct, without input or output.

#ifndef CICADADRUM_FAKE_PLATFORM_PLATFORM_STATE_H_
#define CICADADRUM_FAKE_PLATFORM_PLATFORM_STATE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/store/rows.h"

namespace cicadadrum {

// How the platform handles table, object and VM list requests.
enum class PlatformMode : std::uint8_t {
  kUp,
  kSlow,          // Applies each request and sends the response after a delay.
  kDown,          // Refuses each request with status 503, without effect.
  kDropRequest,   // Discards each request and closes the connection before the
                  // response is complete.
  kDropResponse,  // Applies each request and closes the connection before the
                  // response is complete.
};

template <>
struct EnumNames<PlatformMode> {
  static constexpr auto kTable = std::to_array<EnumName<PlatformMode>>({
      {PlatformMode::kUp, "up"},
      {PlatformMode::kSlow, "slow"},
      {PlatformMode::kDown, "down"},
      {PlatformMode::kDropRequest, "silent"},
      {PlatformMode::kDropResponse, "loseAnswers"},
  });
};

// Body of POST /control: the mode to set and, optionally, a new VM list.
struct PlatformControl {
  PlatformMode mode = PlatformMode::kUp;
  std::uint32_t requests = 0;  // Number of requests after which the mode
                               // returns to kUp; 0 keeps the mode.
  Duration delay{};            // Of responses in kSlow.
  bool set_vms = false;        // Whether `vms` replaces the VM list.
  std::vector<BackendServer> vms;
};

// A VM list that is not served yet.
struct PendingVms {
  TimePoint served_from;  // Time from which the list is served.
  std::vector<BackendServer> vms;
};

// Contents, fault mode and counters of one simulated platform.
struct PlatformState {
  std::map<std::string, Row> rows;  // By key.
  // Results of the most recent transactions, for repeated transactions.
  std::map<std::string, TransactionAnswer> answers_by_token;
  std::deque<std::string>
      token_order;  // Keys of answers_by_token, oldest first.
  std::map<std::string, std::string> objects;  // Bodies by name.
  Duration vm_list_lag{};              // From ApplyControl to the new list.
  std::vector<BackendServer> vms;      // The list served last.
  std::deque<PendingVms> pending_vms;  // In order of served_from.
  PlatformControl control;
  std::uint64_t reads = 0;   // Requests that read rows, objects or VM lists.
  std::uint64_t writes = 0;  // Transactions and stored objects.
  std::uint64_t rows_written = 0;
  std::set<std::string>
      caller_addresses;  // IP:port of every connection that sent a request.
};

// Transactions whose results are retained; the oldest result is removed first.
constexpr std::size_t kMaxStoredAnswers = 65536;

// Applies the writes if the version of every row in `checks` matches, and
// returns the result. A write with a version check of its own is skipped, and
// its row returned in `failed`, if that version does not match. A repeated
// non-empty token returns the first result without applying the writes again.
TransactionAnswer ApplyTransaction(PlatformState& state,
                                   const Transaction& transaction);

// Returns the row of `key`, with version 0 if the row is absent.
Row ReadRow(const PlatformState& state, const std::string& key);

// Returns the rows whose keys begin with `prefix`, in order of keys.
std::vector<Row> ScanRows(const PlatformState& state,
                          const std::string& prefix);

// Returns the VM list that is served at `now`. The reference is valid until the
// next call.
const std::vector<BackendServer>& ListVms(PlatformState& state, TimePoint now);

// Sets the mode at once; a new VM list is served from `now` plus vm_list_lag.
void ApplyControl(PlatformState& state,
                  const PlatformControl& control,
                  TimePoint now);

// Returns the mode for the next request and counts that request against
// PlatformControl::requests.
PlatformMode ConsumeMode(PlatformState& state);

// Returns the counters as text, one counter per line.
std::string FormatMetrics(const PlatformState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_FAKE_PLATFORM_PLATFORM_STATE_H_
