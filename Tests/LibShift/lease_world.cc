// Steps of the lease protocol model and the properties that the model checks.

#include "lease_world.h"

#include <algorithm>
#include <utility>

namespace cicadadrum {

namespace {

void Require(World& world, bool holds, const char* property) {
  if (!holds && world.fault.empty())
    world.fault = property;
}

// --- Table ---

void CheckCommit(World& world, const WriteLeaseRows& write) {
  const LeaseRow& row = world.rows.lease;
  if (!write.plan) {
    const bool renews = row == write.lease;
    Require(world, renews || write.lease.fence == row.fence + 1,
            "each acquisition raises the fencing token by one");
    return;
  }
  Require(world, row == write.lease, "only the holder of the lease writes");
  Require(world, write.plan->number == world.rows.plan.number + 1,
          "plan numbers grow by one");
  Require(world, write.plan->fence == row.fence, "a plan carries the fence");
  const std::string tag = PlanTag(*write.plan);
  Require(world,
          std::find(world.committed.begin(), world.committed.end(), tag) ==
              world.committed.end(),
          "a plan is written once");
  Require(world, !world.replaced.contains(tag),
          "a plan reported as replaced is not written later");
  world.committed.push_back(tag);
}

LeaseRowsWritten Commit(World& world, WriteLeaseRows write, Variant variant) {
  LeaseRows& rows = world.rows;
  const bool acquires = write.lease != rows.lease;
  if (variant == Variant::kFenceNotRaised && acquires && write.lease.fence > 1)
    --write.lease.fence;
  const bool check_lease =
      variant != Variant::kPlanWithoutLeaseCheck || !write.plan;
  if ((check_lease && rows.lease_version != write.lease_version) ||
      rows.plan_version != write.plan_version)
    return {write.operation, LeaseWriteOutcome::kConflict, rows};
  CheckCommit(world, write);
  rows.lease = write.lease;
  ++rows.lease_version;
  if (write.plan) {
    rows.plan = *write.plan;
    ++rows.plan_version;
  }
  return {write.operation, LeaseWriteOutcome::kCommitted, {}};
}

// --- Controllers ---

void CheckResolution(World& world,
                     Controller& controller,
                     const ProposalResolved& resolved) {
  const std::string tag = controller.proposed;
  Require(world, !tag.empty(), "a proposal is answered once");
  controller.proposed.clear();
  const bool written = std::find(world.committed.begin(), world.committed.end(),
                                 tag) != world.committed.end();
  if (resolved.outcome == ProposalOutcome::kInForce) {
    Require(world, written, "a plan reported as in force was written");
    return;
  }
  Require(world, PlanTag(world.rows.plan) != tag,
          "a plan reported as replaced is not in force");
  world.replaced.insert(tag);
}

void Send(World& world,
          std::size_t controller,
          std::uint64_t incarnation,
          MessageBody body) {
  world.network.push_back(
      {controller, incarnation,
       std::make_shared<const MessageBody>(std::move(body))});
}

void Run(World& world, std::size_t index, const LeaseEvent& event) {
  Controller& controller = world.controllers[index];
  LeaseActions actions;
  StepLease(controller.state, event, controller.now, actions);
  for (const LeaseAction& action : actions) {
    const std::uint64_t incarnation = controller.state.incarnation;
    if (const auto* read = std::get_if<ReadLeaseRows>(&action))
      Send(world, index, incarnation, *read);
    if (const auto* write = std::get_if<WriteLeaseRows>(&action))
      Send(world, index, incarnation, *write);
    if (const auto* resolved = std::get_if<ProposalResolved>(&action))
      CheckResolution(world, controller, *resolved);
    if (const auto* adopted = std::get_if<PlanAdopted>(&action)) {
      Require(world, adopted->plan.number > controller.adopted,
              "plans are adopted in order");
      controller.adopted = adopted->plan.number;
    }
  }
}

void Propose(World& world, std::size_t index) {
  Controller& controller = world.controllers[index];
  ShiftPlan plan;
  controller.proposed = "p" + std::to_string(world.proposals--);
  plan.targets[{"", controller.proposed}] = {};
  Run(world, index, PlanProposed{controller.state.known.plan.number, plan});
}

// Lets the store client time out the operation in flight.
void AbandonOperation(World& world, std::size_t index, Variant variant) {
  Controller& controller = world.controllers[index];
  const std::uint64_t operation = controller.state.operation;
  std::optional<WriteLeaseRows>& pending = controller.state.pending;
  const bool is_write = pending && pending->operation == operation;
  if (!is_write) {
    Run(world, index, LeaseRowsRead{operation, false, {}});
    return;
  }
  const bool had_plan = pending->plan.has_value();
  Run(world, index,
      LeaseRowsWritten{operation, LeaseWriteOutcome::kUnknown, {}});
  if (variant != Variant::kUnknownIsFailure)
    return;
  pending.reset();
  if (had_plan)
    CheckResolution(world, controller, {ProposalOutcome::kReplaced, 0});
}

// --- Exploration ---

MessageBody MakeResponse(World& world,
                         const MessageBody& body,
                         Variant variant) {
  if (const auto* read = std::get_if<ReadLeaseRows>(&body))
    return LeaseRowsRead{read->operation, true, world.rows};
  return Commit(world, std::get<WriteLeaseRows>(body), variant);
}

void DeliverToTable(World& world, std::size_t index, Variant variant) {
  const Message message = world.network[index];
  Send(world, message.controller, message.incarnation,
       MakeResponse(world, *message.body, variant));
}

void DeliverToController(World& world, const Message& message) {
  if (const auto* read = std::get_if<LeaseRowsRead>(message.body.get()))
    Run(world, message.controller, *read);
  else
    Run(world, message.controller, std::get<LeaseRowsWritten>(*message.body));
}

// Appends the worlds after the delivery of any one message. Loss needs no step:
// a lost message is a message that is never delivered.
void AppendDeliveries(const World& world,
                      Variant variant,
                      std::vector<World>& next) {
  for (std::size_t i = 0; i < world.network.size(); ++i) {
    const Message& message = world.network[i];
    World delivered = world;
    if (message.body->index() < 2) {
      DeliverToTable(delivered, i, variant);
      if (world.duplicates > 0) {
        next.push_back(delivered);
        --next.back().duplicates;
      }
      delivered.network.erase(delivered.network.begin() +
                              static_cast<std::ptrdiff_t>(i));
      next.push_back(std::move(delivered));
      continue;
    }
    delivered.network.erase(delivered.network.begin() +
                            static_cast<std::ptrdiff_t>(i));
    Controller& controller = delivered.controllers[message.controller];
    if (controller.state.incarnation != message.incarnation)
      continue;
    World paused = delivered;
    DeliverToController(delivered, message);
    next.push_back(std::move(delivered));
    // Delivers the message after a pause or a jump of the controller's clock.
    paused.controllers[message.controller].now +=
        controller.state.settings.duration;
    DeliverToController(paused, message);
    next.push_back(std::move(paused));
  }
}

}  // namespace

std::string PlanTag(const ShiftPlan& plan) {
  return plan.targets.empty() ? "" : plan.targets.begin()->first.service;
}

void RestartController(World& world, std::size_t index) {
  Controller& controller = world.controllers[index];
  controller = {};
  controller.state = MakeLeaseState("entry-" + std::to_string(index),
                                    world.next_incarnation++, {});
}

void AcquireLeaseByFirst(World& world) {
  Run(world, 0, LeaseTimerExpired{});
  while (!world.network.empty()) {
    DeliverToTable(world, 0, Variant::kShipped);
    const Message response = world.network.back();
    world.network.clear();
    DeliverToController(world, response);
  }
}

std::vector<World> NextWorlds(const World& world, Variant variant) {
  std::vector<World> next;
  AppendDeliveries(world, variant, next);
  for (std::size_t i = 0; i < world.controllers.size(); ++i) {
    const Controller& controller = world.controllers[i];
    if (controller.state.operation != 0) {
      next.push_back(world);
      AbandonOperation(next.back(), i, variant);
    } else {
      next.push_back(world);
      Controller& ticked = next.back().controllers[i];
      ticked.now = std::max(ticked.now, ticked.state.next_operation_at);
      Run(next.back(), i, LeaseTimerExpired{});
    }
    if (controller.state.is_holder && controller.proposed.empty() &&
        world.proposals > 0) {
      next.push_back(world);
      Propose(next.back(), i);
    }
    if (world.restarts > 0 && controller.state.next_operation > 1) {
      next.push_back(world);
      --next.back().restarts;
      RestartController(next.back(), i);
    }
  }
  return next;
}

}  // namespace cicadadrum
