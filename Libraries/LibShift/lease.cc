// The lease protocol: reads, renewals, takeovers and plan writes.

#include "cicadadrum/shift/lease.h"

#include <utility>

namespace cicadadrum {

namespace {

struct Step {
  LeaseState& state;
  TimePoint now;
  LeaseActions& actions;
};

void Settle(Step& step, ProposalOutcome fate, std::uint64_t number) {
  step.actions.emplace_back(PlanSettled{fate, number});
}

void Wake(Step& step, Duration delay) {
  step.state.next_at = step.now + delay;
  step.actions.emplace_back(LeaseWake{step.state.next_at});
}

void SetHolding(Step& step, bool holding) {
  if (step.state.holding == holding)
    return;
  step.state.holding = holding;
  step.actions.emplace_back(
      HolderChanged{holding, holding ? step.state.known.lease.fence : 0});
}

void StartRead(Step& step) {
  step.state.operation = step.state.next_operation++;
  step.actions.emplace_back(ReadLeaseRows{step.state.operation});
}

void SendPending(Step& step) {
  step.state.operation = step.state.next_operation++;
  step.state.pending->operation = step.state.operation;
  step.actions.emplace_back(*step.state.pending);
}

// Starts the write that acquires or renews the lease with `fence`, together
// with the proposed plan if there is one.
void StartWrite(Step& step, std::uint64_t fence) {
  LeaseState& state = step.state;
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
  SendPending(step);
}

// Takes over rows as they were read. A read that is older than what is known
// changes nothing.
void TakeRows(Step& step, const LeaseRows& rows) {
  LeaseState& state = step.state;
  const bool is_newer = rows.lease_version > state.known.lease_version;
  if (!is_newer && state.read_once)
    return;
  state.read_once = true;
  state.observed_at = step.now;
  const bool has_newer_plan = rows.plan.number > state.known.plan.number;
  state.known = rows;
  if (has_newer_plan)
    step.actions.emplace_back(PlanAdopted{rows.plan});
}

void FinishCommitted(Step& step, const WriteLeaseRows& write) {
  LeaseState& state = step.state;
  LeaseRows rows = state.known;
  rows.lease_version = write.lease_version + 1;
  rows.lease = write.lease;
  if (write.plan) {
    rows.plan_version = write.plan_version + 1;
    rows.plan = *write.plan;
  }
  TakeRows(step, rows);
  SetHolding(step, true);
  if (write.plan)
    Settle(step, ProposalOutcome::kInForce, write.plan->number);
  Wake(step, state.settings.renew_every);
}

void FinishLost(Step& step, const WriteLeaseRows& write) {
  SetHolding(step, false);
  if (write.plan) {
    const ShiftPlan& plan = step.state.known.plan;
    const bool in_force =
        plan.number == write.plan->number && plan.fence == write.plan->fence;
    Settle(step,
           in_force ? ProposalOutcome::kInForce : ProposalOutcome::kReplaced,
           in_force ? plan.number : 0);
  }
  Wake(step, step.state.settings.renew_every);
}

// Settles the pending write after `rows` were read or came with a conflict.
// Only this process writes rows with its incarnation and it has one write at a
// time, so its row with the next version is this write's.
void SettlePending(Step& step, const LeaseRows& rows, bool may_send_again) {
  LeaseState& state = step.state;
  if (may_send_again && rows.lease_version <= state.pending->lease_version) {
    SendPending(step);
    return;
  }
  const WriteLeaseRows write = std::move(*state.pending);
  state.pending.reset();
  if (rows.lease_version == write.lease_version + 1 &&
      rows.lease == write.lease) {
    FinishCommitted(step, write);
    return;
  }
  TakeRows(step, rows);
  FinishLost(step, write);
}

// A lease is free if its row is absent or did not change between two reads that
// are at least the duration apart. This also holds for the lease of an earlier
// process of this entry VM: two processes of one name would otherwise take the
// lease from each other without end.
bool MayAcquire(const LeaseState& state, TimePoint now) {
  return state.known.lease_version == 0 ||
         now - state.observed_at >= state.settings.duration;
}

void Handle(Step& step, const LeaseTick&) {
  LeaseState& state = step.state;
  if (state.operation != 0)
    return;
  if (step.now < state.next_at) {
    step.actions.emplace_back(LeaseWake{state.next_at});
    return;
  }
  if (state.holding && !state.pending)
    StartWrite(step, state.known.lease.fence);
  else
    StartRead(step);
}

void Handle(Step& step, const LeaseRowsRead& read) {
  LeaseState& state = step.state;
  if (read.operation != state.operation || state.operation == 0)
    return;
  state.operation = 0;
  if (!read.reached) {
    Wake(step, state.settings.retry_after);
    return;
  }
  if (state.pending) {
    SettlePending(step, read.rows, true);
    return;
  }
  TakeRows(step, read.rows);
  if (read.rows.lease_version == state.known.lease_version &&
      MayAcquire(state, step.now))
    StartWrite(step, state.known.lease.fence + 1);
  else
    Wake(step, state.settings.renew_every);
}

void Handle(Step& step, const LeaseRowsWritten& written) {
  LeaseState& state = step.state;
  if (written.operation != state.operation || state.operation == 0)
    return;
  state.operation = 0;
  switch (written.outcome) {
    case LeaseWriteOutcome::kCommitted: {
      const WriteLeaseRows write = std::move(*state.pending);
      state.pending.reset();
      FinishCommitted(step, write);
      break;
    }
    case LeaseWriteOutcome::kConflict:
      SettlePending(step, written.rows, false);
      break;
    case LeaseWriteOutcome::kUnknown:
      Wake(step, state.settings.retry_after);
      break;
  }
  if (state.holding && state.proposal && !state.pending)
    StartWrite(step, state.known.lease.fence);
}

void Handle(Step& step, const PlanProposed& proposed) {
  LeaseState& state = step.state;
  const bool is_busy = state.proposal || (state.pending && state.pending->plan);
  if (!state.holding || is_busy ||
      proposed.based_on != state.known.plan.number) {
    Settle(step, ProposalOutcome::kReplaced, 0);
    return;
  }
  state.proposal = proposed.plan;
  if (state.operation == 0 && !state.pending)
    StartWrite(step, state.known.lease.fence);
}

// A proposal that waits for a renewal must not outlive the lease: its plan was
// made from a plan that another holder may have replaced.
void DropProposalIfLost(Step& step) {
  if (step.state.holding || !step.state.proposal)
    return;
  step.state.proposal.reset();
  Settle(step, ProposalOutcome::kReplaced, 0);
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
  Step step{state, now, actions};
  std::visit([&step](const auto& item) { Handle(step, item); }, event);
  DropProposalIfLost(step);
}

}  // namespace cicadadrum
