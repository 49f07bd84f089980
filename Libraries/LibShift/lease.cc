// The lease protocol: reads, renewals, takeovers and plan writes.

#include "cicadadrum/shift/lease.h"

#include <utility>

namespace cicadadrum {

namespace {

struct LeaseContext {
  LeaseState& state;
  TimePoint now;
  LeaseActions& actions;
};

void ResolveProposal(LeaseContext& context,
                     ProposalOutcome outcome,
                     std::uint64_t number) {
  context.actions.emplace_back(ProposalResolved{outcome, number});
}

void ScheduleWake(LeaseContext& context, Duration delay) {
  context.state.next_operation_at = context.now + delay;
  context.actions.emplace_back(LeaseWake{context.state.next_operation_at});
}

void SetIsHolder(LeaseContext& context, bool is_holder) {
  if (context.state.is_holder == is_holder)
    return;
  context.state.is_holder = is_holder;
  context.actions.emplace_back(HolderChanged{
      is_holder, is_holder ? context.state.known.lease.fence : 0});
}

void StartRead(LeaseContext& context) {
  context.state.operation = context.state.next_operation++;
  context.actions.emplace_back(ReadLeaseRows{context.state.operation});
}

void SendPendingWrite(LeaseContext& context) {
  context.state.operation = context.state.next_operation++;
  context.state.pending->operation = context.state.operation;
  context.actions.emplace_back(*context.state.pending);
}

// Starts the write that acquires or renews the lease with the fencing token
// `fence`. The write includes the proposed plan if there is a proposal.
void StartWrite(LeaseContext& context, std::uint64_t fence) {
  LeaseState& state = context.state;
  WriteLeaseRows write;
  write.token = state.next_operation;
  write.lease_version = state.known.lease_version;
  write.plan_version = state.known.plan_version;
  write.lease = {fence, state.self, state.incarnation};
  if (state.proposal) {
    write.plan = std::move(state.proposal);
    write.plan->fence = fence;
    write.plan->number = state.known.plan.number + 1;
    state.proposal.reset();
  }
  state.pending = std::move(write);
  SendPendingWrite(context);
}

// Replaces the known rows by `rows` if `rows` are newer or the first rows read.
// An older read changes nothing.
void ApplyRows(LeaseContext& context, const LeaseRows& rows) {
  LeaseState& state = context.state;
  const bool is_newer = rows.lease_version > state.known.lease_version;
  if (!is_newer && state.has_read)
    return;
  state.has_read = true;
  state.observed_at = context.now;
  const bool has_newer_plan = rows.plan.number > state.known.plan.number;
  state.known = rows;
  if (has_newer_plan)
    context.actions.emplace_back(PlanAdopted{rows.plan});
}

// Completes a write that took effect.
void FinishCommitted(LeaseContext& context, const WriteLeaseRows& write) {
  LeaseState& state = context.state;
  LeaseRows rows = state.known;
  rows.lease_version = write.lease_version + 1;
  rows.lease = write.lease;
  if (write.plan) {
    rows.plan_version = write.plan_version + 1;
    rows.plan = *write.plan;
  }
  ApplyRows(context, rows);
  SetIsHolder(context, true);
  if (write.plan)
    ResolveProposal(context, ProposalOutcome::kInForce, write.plan->number);
  ScheduleWake(context, state.settings.renew_every);
}

// Completes a write that did not take effect because another write changed the
// rows, or that took effect before another write did.
void FinishSuperseded(LeaseContext& context, const WriteLeaseRows& write) {
  SetIsHolder(context, false);
  if (write.plan) {
    const ShiftPlan& plan = context.state.known.plan;
    const bool in_force =
        plan.number == write.plan->number && plan.fence == write.plan->fence;
    ResolveProposal(
        context,
        in_force ? ProposalOutcome::kInForce : ProposalOutcome::kReplaced,
        in_force ? plan.number : 0);
  }
  ScheduleWake(context, context.state.settings.renew_every);
}

// Resolves the pending write from `rows`, which were read or came with a
// conflict. Only this process writes rows with its incarnation, and it has at
// most one write in progress, so a row of this process with the next version
// was written by the pending write.
void ResolvePendingWrite(LeaseContext& context,
                         const LeaseRows& rows,
                         bool may_resend) {
  LeaseState& state = context.state;
  if (may_resend && rows.lease_version <= state.pending->lease_version) {
    SendPendingWrite(context);
    return;
  }
  const WriteLeaseRows write = std::move(*state.pending);
  state.pending.reset();
  if (rows.lease_version == write.lease_version + 1 &&
      rows.lease == write.lease) {
    FinishCommitted(context, write);
    return;
  }
  ApplyRows(context, rows);
  FinishSuperseded(context, write);
}

// Returns whether the lease is free: its row is absent, or did not change
// between two reads that are at least the lease duration apart. The rule
// includes the lease of an earlier process of this entry VM: two processes with
// the same name would otherwise repeatedly acquire the lease from each other.
bool MayAcquire(const LeaseState& state, TimePoint now) {
  return state.known.lease_version == 0 ||
         now - state.observed_at >= state.settings.duration;
}

void Handle(LeaseContext& context, const LeaseTimerExpired&) {
  LeaseState& state = context.state;
  if (state.operation != 0)
    return;
  if (context.now < state.next_operation_at) {
    context.actions.emplace_back(LeaseWake{state.next_operation_at});
    return;
  }
  if (state.is_holder && !state.pending)
    StartWrite(context, state.known.lease.fence);
  else
    StartRead(context);
}

void Handle(LeaseContext& context, const LeaseRowsRead& read) {
  LeaseState& state = context.state;
  if (read.operation != state.operation || state.operation == 0)
    return;
  state.operation = 0;
  if (!read.store_reached) {
    ScheduleWake(context, state.settings.retry_after);
    return;
  }
  if (state.pending) {
    ResolvePendingWrite(context, read.rows, true);
    return;
  }
  ApplyRows(context, read.rows);
  if (read.rows.lease_version == state.known.lease_version &&
      MayAcquire(state, context.now))
    StartWrite(context, state.known.lease.fence + 1);
  else
    ScheduleWake(context, state.settings.renew_every);
}

void Handle(LeaseContext& context, const LeaseRowsWritten& written) {
  LeaseState& state = context.state;
  if (written.operation != state.operation || state.operation == 0)
    return;
  state.operation = 0;
  switch (written.outcome) {
    case LeaseWriteOutcome::kCommitted: {
      const WriteLeaseRows write = std::move(*state.pending);
      state.pending.reset();
      FinishCommitted(context, write);
      break;
    }
    case LeaseWriteOutcome::kConflict:
      ResolvePendingWrite(context, written.rows, false);
      break;
    case LeaseWriteOutcome::kUnknown:
      ScheduleWake(context, state.settings.retry_after);
      break;
  }
  if (state.is_holder && state.proposal && !state.pending)
    StartWrite(context, state.known.lease.fence);
}

void Handle(LeaseContext& context, const PlanProposed& proposed) {
  LeaseState& state = context.state;
  const bool is_busy = state.proposal || (state.pending && state.pending->plan);
  if (!state.is_holder || is_busy ||
      proposed.based_on != state.known.plan.number) {
    ResolveProposal(context, ProposalOutcome::kReplaced, 0);
    return;
  }
  state.proposal = proposed.plan;
  if (state.operation == 0 && !state.pending)
    StartWrite(context, state.known.lease.fence);
}

// Rejects a proposal that waits for a renewal if the lease is lost: the plan is
// based on a plan that another holder may have replaced.
void DropProposalUnlessHolder(LeaseContext& context) {
  if (context.state.is_holder || !context.state.proposal)
    return;
  context.state.proposal.reset();
  ResolveProposal(context, ProposalOutcome::kReplaced, 0);
}

}  // namespace

LeaseState MakeLeaseState(std::string self,
                          std::uint64_t incarnation,
                          const LeaseSettings& settings) {
  LeaseState state;
  state.self = std::move(self);
  state.incarnation = incarnation;
  state.settings = settings;
  return state;
}

void StepLease(LeaseState& state,
               const LeaseEvent& event,
               TimePoint now,
               LeaseActions& actions) {
  LeaseContext context{state, now, actions};
  std::visit([&context](const auto& item) { Handle(context, item); }, event);
  DropProposalUnlessHolder(context);
}

}  // namespace cicadadrum
