// A model of controllers, one table and a network for the exploration of the
// lease protocol. The network loses, duplicates and delays messages; a loss is
// a message that is never delivered. The table remembers no transaction tokens.
// A pause is a controller that takes no step for a while; its clock may then
// have advanced by any time.

#ifndef CICADADRUM_TESTS_LEASE_WORLD_H_
#define CICADADRUM_TESTS_LEASE_WORLD_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/shift/lease.h"

namespace cicadadrum {

enum class Variant {
  kShipped,
  kPlanWithoutLeaseCheck,  // A plan write checks the plan row only.
  kUnknownIsFailure,       // A lost answer counts as "not written".
  kFenceNotRaised,         // A takeover keeps the fencing token.
};

using MessageBody = std::
    variant<ReadLeaseRows, WriteLeaseRows, LeaseRowsRead, LeaseRowsWritten>;

struct Message {
  std::size_t controller = 0;
  std::uint64_t incarnation = 0;
  std::shared_ptr<const MessageBody> body;
};

struct Controller {
  LeaseState state;
  TimePoint now;
  std::string proposed;  // Tag of the proposal without an answer.
  std::uint64_t adopted = 0;
};

struct World {
  LeaseRows rows;
  std::vector<Controller> controllers;
  std::vector<Message> network;
  std::vector<std::string> committed;  // Tags of the plans, in order.
  std::set<std::string> replaced;      // Tags that were reported as replaced.
  int proposals = 2;                   // Budgets.
  int duplicates = 1;
  int restarts = 1;
  std::uint64_t next_incarnation = 1;
  std::string fault;  // First violated property.
};

std::string PlanTag(const ShiftPlan& plan);

// Starts the controller with a new incarnation.
void RestartController(World& world, std::size_t index);

// Lets the first controller take the lease.
void AcquireLeaseByFirst(World& world);

// Returns the worlds that one step can lead to.
std::vector<World> NextWorlds(const World& world, Variant variant);

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_LEASE_WORLD_H_
