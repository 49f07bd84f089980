// A model of entry VMs that run the production claim functions, of the table of
// rows and of the messages between them. Every choice of the environment
// (order, loss, duplication, delay, crash, time) is an operation.

#ifndef CICADADRUM_TESTS_CLAIM_WORLD_H_
#define CICADADRUM_TESTS_CLAIM_WORLD_H_

#include <set>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/claim/claim.h"

namespace cicadadrum::test {

using StepFunction = void (*)(ClaimState&,
                              const ClaimEvent&,
                              TimePoint,
                              ClaimActions&);

// How often each kind of operation may still occur. The budgets are part of the
// state; the depth of an exploration is not.
struct Budgets {
  // Requests of callers, at any entry VM, with any key.
  int caller_requests = 3;
  int faults = 2;   // Losses, duplicates, time-outs, refusals, wrong verdicts.
  int crashes = 1;  // A restart as a new incarnation follows each crash.
  int ticks = 2;    // Advances of one entry VM's clock to its next timer.
};

enum class RequestPhase : std::uint8_t { kOpen, kRunning, kDone, kLostInCrash };

struct Request {
  std::uint64_t id = 0;
  std::size_t entry = 0;
  Incarnation incarnation;
  std::string key;
  std::uint64_t root = 0;  // The caller's request that led to this one.
  // The request at the forwarding entry VM; 0 if not forwarded.
  std::uint64_t forwarded_from = 0;
  std::uint32_t forwarded_attempt = 0;
  RequestPhase phase = RequestPhase::kOpen;
  bool caller_disconnected = false;  // Nobody waits for the response.
};

// A request in transit to the home of its key, and the response.
struct Forward {
  std::uint64_t forwarded_from = 0;
  std::uint32_t attempt = 0;
  std::string key;
};
struct ForwardAnswer {
  HomeResponded answer;
};

struct Message {
  // The receiver, or the sender of a write to the table.
  std::size_t entry = 0;
  Incarnation incarnation;
  std::variant<WriteClaims,
               StoreResult,
               ClaimWriteCompleted,
               Forward,
               ForwardAnswer>
      body;
};

struct Execution {
  std::string key;
  std::size_t entry = 0;
  Incarnation incarnation;
  std::uint64_t root = 0;
};

struct Entry {
  ClaimState claims;
  TimePoint now;
};

struct World {
  StepFunction step = StepClaim;
  Budgets remaining;
  std::vector<std::string> keys;
  std::vector<Entry> entries;
  std::map<std::string, ClaimRow> table;
  std::vector<Message> messages;
  std::vector<Request> requests;  // The id is the index plus 1.
  std::vector<Execution> executions;
  std::set<std::uint64_t> not_run;  // Caller requests with verdict kNotRun.
  std::string fault;                // The first check that failed.
};

enum class OpKind : std::uint8_t {
  kRequest,    // A caller sends a request with key `choice` to entry `index`.
  kDeliver,    // Message `index` arrives.
  kDuplicate,  // Message `index` arrives and stays in transit.
  kDrop,       // Message `index` is lost.
  kTableDown,  // Transaction `index` is rejected without effect.
  kTimeOut,    // Entry `index` gets no response to its transaction.
  kHomeNoAnswer,  // Request `index` gets no response from the home.
  kHomeDead,    // Membership at the entry of request `index` considers the home
                // dead.
  kFinish,      // Running request `index` ends with verdict `choice`.
  kDisconnect,  // The caller of request `index` disconnects.
  kCrash,       // Entry `index` restarts as a new incarnation.
  kTick,        // The clock of entry `index` advances to its next timer.
};

struct Op {
  OpKind kind = OpKind::kRequest;
  std::size_t index = 0;
  std::size_t choice = 0;
};

// Returns a world whose entry 0 has issued one key of each kind in `kinds`.
World MakeWorld(std::size_t entries,
                const std::vector<KeyKind>& kinds,
                const Budgets& budgets,
                StepFunction step);

// Returns the operations that are possible in this state and within the
// budgets.
std::vector<Op> EnabledOps(const World& world);

// Returns the record of `request` if it was forwarded to the home and has no
// response yet, otherwise nullptr.
const ClaimRecord* FindForwardedRecord(const World& world,
                                       const Request& request);

// Returns whether the operation counts against Budgets::faults.
bool IsFault(const World& world, const Op& op);

// Returns whether the incarnation that issued the key has crashed.
bool IsHomeDead(const World& world, const std::string& key);

// Applies the operation and sets World::fault if a check fails.
void ApplyOp(World& world, const Op& op);

// Delivers all messages in transit and lets time pass. Sets `fault` if a check
// fails or if a request then still has no decision.
void RunToQuiescence(World world, std::string& fault);

// Returns a hash of the state, for the set of visited states.
std::uint64_t HashWorld(const World& world);

}  // namespace cicadadrum::test

#endif  // CICADADRUM_TESTS_CLAIM_WORLD_H_
