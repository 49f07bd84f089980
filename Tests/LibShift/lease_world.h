// A model of controllers, one table and a network, for the exploration of the
// lease protocol. The network loses, duplicates and delays messages; a lost
// message is a message that is never delivered. The table does not remember
// transaction tokens. A paused controller takes no step for a while, and its
// clock may then have advanced by any time.

#ifndef CICADADRUM_TESTS_LEASE_WORLD_H_
#define CICADADRUM_TESTS_LEASE_WORLD_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/shift/lease.h"

namespace cicadadrum {

// The protocol as shipped, and faulty variants that the exploration has to
// detect.
enum class Variant {
  kShipped,
  kPlanWithoutLeaseCheck,  // A plan write checks only the plan row.
  kUnknownIsFailure,       // A lost response counts as "not written".
  kFenceNotRaised,         // A takeover does not raise the fencing token.
};

using MessageBody = std::
    variant<ReadLeaseRows, WriteLeaseRows, LeaseRowsRead, LeaseRowsWritten>;

// A request from a controller to the table, or a response to it.
struct Message {
  std::size_t controller = 0;
  std::uint64_t incarnation = 0;
  std::shared_ptr<const MessageBody> body;
};

struct Controller {
  LeaseState state;
  TimePoint now;
  std::string proposed;       // Tag of the unresolved proposal; empty if none.
  std::uint64_t adopted = 0;  // Number of the newest adopted plan.
};

struct World {
  LeaseRows rows;
  std::vector<Controller> controllers;
  std::vector<Message> network;
  std::vector<std::string> committed;  // Tags of committed plans, in order.
  std::set<std::string> replaced;      // Tags reported as replaced.
  int proposals = 2;  // Remaining, as for duplicates and restarts.
  int duplicates = 1;
  int restarts = 1;
  std::uint64_t next_incarnation = 1;
  std::string fault;  // First violated property, or empty.
};

// Returns the tag that identifies a proposal of the model, or an empty text.
std::string PlanTag(const ShiftPlan& plan);

// Replaces the controller by a new process with a new incarnation.
void RestartController(World& world, std::size_t index);

// Lets the first controller acquire the lease.
void AcquireLeaseByFirst(World& world);

// Returns every world that one step can lead to.
std::vector<World> NextWorlds(const World& world, Variant variant);

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_LEASE_WORLD_H_
