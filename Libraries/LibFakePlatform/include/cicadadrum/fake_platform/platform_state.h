// State of the platform's test double: table, object store, VM list, and how it
// misbehaves. Free functions over a plain struct, no input or output.

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

enum class PlatformMode : std::uint8_t {
  kUp,
  kSlow,          // Answers after a delay.
  kDown,          // Refuses with status 503, without effect.
  kDropRequest,   // No effect, and the connection ends before the answer does.
  kDropResponse,  // Takes effect, and the connection ends before the answer
                  // does.
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

struct PlatformControl {
  PlatformMode mode = PlatformMode::kUp;
  std::uint32_t requests = 0;  // Until the mode is kUp again; 0 for no end.
  Duration delay{};            // Of answers in kSlow.
  bool set_vms = false;
  std::vector<BackendServer> vms;
};

struct PendingVms {
  TimePoint served_from;  // When the list is served.
  std::vector<BackendServer> vms;
};

struct PlatformState {
  std::map<std::string, Row> rows;
  std::map<std::string, TransactionAnswer> answers_by_token;  // By token.
  std::deque<std::string> token_order;  // The same, oldest first.
  std::map<std::string, std::string> objects;
  Duration vm_list_lag{};
  std::vector<BackendServer> vms;  // As served.
  std::deque<PendingVms> pending_vms;
  PlatformControl control;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t rows_written = 0;
  std::set<std::string>
      caller_addresses;  // IP:port of every connection with a request.
};

// Tokens whose answers are kept.
constexpr std::size_t kMaxStoredAnswers = 65536;

TransactionAnswer ApplyTransaction(PlatformState& state,
                                   const Transaction& transaction);

// Returns a row of version 0 if it is absent.
Row ReadRow(const PlatformState& state, const std::string& key);

// Returns the rows whose keys begin with `prefix`, in order.
std::vector<Row> ScanRows(const PlatformState& state,
                          const std::string& prefix);

// Returns the list that is served at `now`.
const std::vector<BackendServer>& ListVms(PlatformState& state, TimePoint now);

void ApplyControl(PlatformState& state,
                  const PlatformControl& control,
                  TimePoint now);

// Returns the mode for the next request and counts it.
PlatformMode ConsumeMode(PlatformState& state);

// Returns the counters in text form, one a line.
std::string FormatMetrics(const PlatformState& state);

}  // namespace cicadadrum

#endif  // CICADADRUM_FAKE_PLATFORM_PLATFORM_STATE_H_
