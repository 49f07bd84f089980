// The shift controller's lease and the transactions that write shift plans.
//
// The lease is the table row shift/lease, the plan is the table row shift/plan.
// Each acquisition of the lease raises the fencing token by one. Each write of
// the holder (a renewal or a plan) checks the versions of the rows it was based
// on and rewrites the lease row in the same transaction. If a holder was paused
// while another entry VM acquired the lease, this check therefore fails. Clocks
// decide only when an entry VM attempts an operation: a clock that jumps can
// cause a change of holder but never a second writer.
//
// The protocol does not depend on the table remembering transaction tokens.
// After a write whose response was lost, the rows are read back, and the write
// is sent again only while the rows still have the versions that the write
// checks.

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
  std::uint64_t fence = 0;        // Fencing token.
  std::string holder;             // Name of the entry VM that holds the lease.
  std::uint64_t incarnation = 0;  // Incarnation of the holder.
  bool operator==(const LeaseRow&) const = default;
};

// The lease row and the plan row with their versions in the table. Version 0
// means that the row is absent.
struct LeaseRows {
  std::uint64_t lease_version = 0;
  LeaseRow lease;
  std::uint64_t plan_version = 0;
  ShiftPlan plan;
  bool operator==(const LeaseRows&) const = default;
};

enum class LeaseWriteOutcome : std::uint8_t {
  kCommitted,
  kConflict,  // A version check failed; the response has the current rows.
  kUnknown,   // No response, or the table did not accept the transaction.
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

// The time of the last LeaseWake has been reached.
struct LeaseTimerExpired {};

// Response to ReadLeaseRows.
struct LeaseRowsRead {
  std::uint64_t operation = 0;
  bool store_reached = false;  // False if the store did not respond.
  LeaseRows rows;              // Set if `store_reached`.
};

// Response to WriteLeaseRows.
struct LeaseRowsWritten {
  std::uint64_t operation = 0;
  LeaseWriteOutcome outcome = LeaseWriteOutcome::kUnknown;
  LeaseRows rows;  // Set for kConflict.
};

// The planner of this entry VM computed a plan on the basis of the plan with
// the number `based_on`. StepLease sets the number and the fencing token of the
// new plan.
struct PlanProposed {
  std::uint64_t based_on = 0;
  ShiftPlan plan;
};

using LeaseEvent = std::
    variant<LeaseTimerExpired, LeaseRowsRead, LeaseRowsWritten, PlanProposed>;

// --- Actions ---

// Read both rows. The caller responds with exactly one LeaseRowsRead.
struct ReadLeaseRows {
  std::uint64_t operation = 0;
};

// Check in one transaction that both rows have the stated versions, and write
// the lease row and, if `plan` is set, the plan row. The caller responds with
// exactly one LeaseRowsWritten; a transaction without a response by its
// deadline is reported as kUnknown.
struct WriteLeaseRows {
  std::uint64_t operation = 0;
  std::uint64_t token = 0;  // Unique per incarnation.
  std::uint64_t lease_version = 0;
  std::uint64_t plan_version = 0;
  LeaseRow lease;
  std::optional<ShiftPlan> plan;
  bool operator==(const WriteLeaseRows&) const = default;
};

// A plan with a higher number is in force from now on.
struct PlanAdopted {
  ShiftPlan plan;
};

enum class ProposalOutcome : std::uint8_t {
  kInForce,   // The proposed plan is the newest plan.
  kReplaced,  // The proposed plan was not and will not be written.
};

template <>
struct EnumNames<ProposalOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<ProposalOutcome>>({
      {ProposalOutcome::kInForce, "in-force"},
      {ProposalOutcome::kReplaced, "replaced"},
  });
};

// Reports the outcome of a proposal. StepLease emits exactly one per
// PlanProposed. After kReplaced the planner should compute a new plan.
struct ProposalResolved {
  ProposalOutcome outcome = ProposalOutcome::kReplaced;
  std::uint64_t number = 0;  // Number of the plan; set for kInForce.
};

// This entry VM acquired the lease, or found that it no longer holds it.
struct HolderChanged {
  bool is_holder = false;
  std::uint64_t fence = 0;  // Fencing token; 0 if not the holder.
};

// Send LeaseTimerExpired at `at`. Replaces the time of earlier LeaseWakes.
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

// `duration` is the time for which the lease row has to stay unchanged before
// another entry VM may acquire the lease.
struct LeaseSettings {
  Duration duration = Seconds(10);    // Without a renewal.
  Duration renew_every = Seconds(3);  // Also between reads.
  Duration retry_after = Seconds(1);  // If the store fails.
};

// State of the lease protocol at one entry VM. Callers read `is_holder` and
// `known`; only StepLease changes the state.
struct LeaseState {
  std::string self;               // Name of this entry VM.
  std::uint64_t incarnation = 0;  // Random and not 0; new for each process.
  LeaseSettings settings;
  bool is_holder = false;  // Last known state of the lease.
  std::uint64_t next_operation = 1;
  std::uint64_t operation = 0;  // Operation in flight; 0 if none.
  // The write whose outcome is not known. No other write starts before this
  // outcome is resolved, so at most one write of this process can still take
  // effect.
  std::optional<WriteLeaseRows> pending;
  std::optional<ShiftPlan> proposal;  // Sent with the next write.
  bool has_read = false;              // Whether `known` was read at least once.
  LeaseRows known;                    // Rows as last read or written.
  TimePoint observed_at;              // Of known.lease_version, first seen.
  TimePoint next_operation_at;        // Start of the next operation.
};

// Returns the state of a process that has not read the rows yet. `incarnation`
// has to be random and not 0. The first event is a LeaseTimerExpired.
LeaseState MakeLeaseState(std::string self,
                          std::uint64_t incarnation,
                          const LeaseSettings& settings);

// Applies one event at the time `now` and appends the resulting actions. While
// the store is down, the last plan stays in force: `known.plan` changes only to
// a plan with a higher number. A response to an operation other than the one in
// flight is ignored.
void StepLease(LeaseState& state,
               const LeaseEvent& event,
               TimePoint now,
               LeaseActions& actions);

}  // namespace cicadadrum

#endif  // CICADADRUM_SHIFT_LEASE_H_
