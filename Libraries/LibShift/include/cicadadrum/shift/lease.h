// The controller's lease and the write of plans.
//
// The lease is the table row shift/lease, the plan is the row shift/plan. Each
// acquisition raises the fencing token by one. Each write of a holder (renewal
// or plan) checks the versions of the rows it was based on and writes the lease
// row anew in the same transaction. A holder that was paused while another
// entry VM took the lease therefore fails its check. Clocks decide only when an
// entry VM tries; a clock that jumps costs a change of holder and never a
// second writer.
//
// The protocol does not need the table to remember transaction tokens: a write
// whose answer was lost is read back, and it is sent again only while the rows
// still have the versions it checks.

#ifndef CICADADRUM_SHIFT_LEASE_H_
#define CICADADRUM_SHIFT_LEASE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/shift/plan.h"

namespace cicadadrum {

// Value of the table row shift/lease.
struct LeaseRow {
  std::uint64_t fence = 0;
  std::string holder;             // Name of an entry VM.
  std::uint64_t incarnation = 0;  // Of the holder's process.
  bool operator==(const LeaseRow&) const = default;
};

// Both rows with their versions in the table; version 0 means absent.
struct LeaseRows {
  std::uint64_t lease_version = 0;
  LeaseRow lease;
  std::uint64_t plan_version = 0;
  ShiftPlan plan;
  bool operator==(const LeaseRows&) const = default;
};

enum class LeaseWriteOutcome : std::uint8_t {
  kCommitted,
  kConflict,  // A check failed; the rows as they are come with the answer.
  kUnknown,   // No answer, or the service did not take the transaction.
};

template <>
struct EnumNames<LeaseWriteOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<LeaseWriteOutcome>>({
      {LeaseWriteOutcome::kCommitted, "committed"},
      {LeaseWriteOutcome::kConflict, "conflict"},
      {LeaseWriteOutcome::kUnknown, "unknown"},
  });
};

// --- Events ---

// Time has passed; sent at the time of the last LeaseWake.
struct LeaseTimerExpired {};

// Answer to ReadLeaseRows.
struct LeaseRowsRead {
  std::uint64_t operation = 0;
  bool store_reached = false;
  LeaseRows rows;  // Set if reached.
};

// Answer to WriteLeaseRows.
struct LeaseRowsWritten {
  std::uint64_t operation = 0;
  LeaseWriteOutcome outcome = LeaseWriteOutcome::kUnknown;
  LeaseRows rows;  // Set for kConflict.
};

// The planner of this entry VM made a plan from the plan with number
// `based_on`. Its number and fence are set by StepLease.
struct PlanProposed {
  std::uint64_t based_on = 0;
  ShiftPlan plan;
};

using LeaseEvent = std::
    variant<LeaseTimerExpired, LeaseRowsRead, LeaseRowsWritten, PlanProposed>;

// --- Actions ---

// Read both rows. Answered by exactly one LeaseRowsRead.
struct ReadLeaseRows {
  std::uint64_t operation = 0;
};

// One transaction: check that both rows have the stated versions, write the
// lease row and, if present, the plan row. Answered by exactly one
// LeaseRowsWritten; a transaction without an answer by its deadline counts as
// kUnknown.
struct WriteLeaseRows {
  std::uint64_t operation = 0;
  std::uint64_t token = 0;  // With the incarnation, the transaction token.
  std::uint64_t lease_version = 0;
  std::uint64_t plan_version = 0;
  LeaseRow lease;
  std::optional<ShiftPlan> plan;
  bool operator==(const WriteLeaseRows&) const = default;
};

// A newer plan is in force.
struct PlanAdopted {
  ShiftPlan plan;
};

enum class ProposalOutcome : std::uint8_t {
  kInForce,   // The proposed plan is the newest plan.
  kReplaced,  // It is not in force and will not be; plan anew.
};

template <>
struct EnumNames<ProposalOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<ProposalOutcome>>({
      {ProposalOutcome::kInForce, "in-force"},
      {ProposalOutcome::kReplaced, "replaced"},
  });
};

// The one answer to a PlanProposed.
struct ProposalResolved {
  ProposalOutcome outcome = ProposalOutcome::kReplaced;
  std::uint64_t number = 0;  // Set for kInForce.
};

// This entry VM became the holder, or learned that it no longer is.
struct HolderChanged {
  bool is_holder = false;
  std::uint64_t fence = 0;
};

struct LeaseWake {
  TimePoint at = kNever;
};

using LeaseAction = std::variant<ReadLeaseRows,
                                 WriteLeaseRows,
                                 PlanAdopted,
                                 ProposalResolved,
                                 HolderChanged,
                                 LeaseWake>;
using LeaseActions = std::vector<LeaseAction>;

// --- State ---

struct LeaseSettings {
  Duration duration = Seconds(10);    // Unchanged row before a takeover.
  Duration renew_every = Seconds(3);  // Also the interval of reads.
  Duration retry_after = Seconds(1);  // After the store did not answer.
};

struct LeaseState {
  std::string self;
  std::uint64_t incarnation = 0;  // Random, not 0, new with each process.
  LeaseSettings settings;
  bool is_holder = false;  // As far as this entry VM knows.
  std::uint64_t next_operation = 1;
  std::uint64_t operation = 0;  // In flight; 0 if none.
  // A write whose outcome is not known. No other write starts before it is
  // settled, so at most one write of this process can still take effect.
  std::optional<WriteLeaseRows> pending;
  std::optional<ShiftPlan> proposal;  // Waits for the next write.
  bool has_read = false;
  LeaseRows known;              // As last read or written.
  TimePoint observed_at;        // When known.lease_version was first seen.
  TimePoint next_operation_at;  // Time of the next operation.
};

LeaseState MakeLeaseState(std::string self,
                          std::uint64_t incarnation,
                          const LeaseSettings& settings);

// Applies one event. While the store is down the last plan stays in force:
// `known.plan` changes only to a plan with a higher number.
void StepLease(LeaseState& state,
               const LeaseEvent& event,
               TimePoint now,
               LeaseActions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_LEASE_H_
