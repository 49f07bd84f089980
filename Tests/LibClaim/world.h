// A model of entry VMs that run the shipped claim functions, a table of rows
// and the messages between them. Every choice of the environment (order, loss,
// duplication, delay, crash, time) is an operation.

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

// How often each choice may be made. All but the depth are part of the state.
struct Budgets {
  int caller_requests =
      3;            // Requests of callers, at any entry VM, with any key.
  int faults = 2;   // Losses, duplicates, time-outs, refusals, wrong verdicts.
  int crashes = 1;  // Each followed by a restart as a new incarnation.
  int ticks = 2;    // Steps of one entry VM's clock to its next timer.
};

enum class RequestPhase : std::uint8_t { kOpen, kRunning, kDone, kLostInCrash };

struct Request {
  std::uint64_t id = 0;
  std::size_t entry = 0;
  Incarnation incarnation;
  std::string key;
  std::uint64_t root = 0;  // The caller's request that led to this one.
  std::uint64_t forwarded_from =
      0;  // The request that was forwarded; 0 if none.
  std::uint32_t forwarded_attempt = 0;
  RequestPhase phase = RequestPhase::kOpen;
  bool caller_disconnected = false;  // Nobody waits for the answer.
};

// A request on its way to its home, and the answer.
struct Forward {
  std::uint64_t forwarded_from = 0;
  std::uint32_t attempt = 0;
  std::string key;
};
struct ForwardAnswer {
  HomeResponded answer;
};

struct Message {
  std::size_t entry = 0;  // Receiver, or the writer for the table.
  Incarnation incarnation;
  std::variant<WriteClaims, StoreResult, WriteAnswered, Forward, ForwardAnswer>
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
  std::set<std::uint64_t> not_run;  // Callers' requests told "not run".
  std::string fault;                // The first check that failed.
};

enum class OpKind : std::uint8_t {
  kRequest,       // A caller asks entry `index` with key `choice`.
  kDeliver,       // Message `index` arrives.
  kDuplicate,     // Message `index` arrives and stays in transit.
  kDrop,          // Message `index` is lost.
  kTableDown,     // Transaction `index` is refused without effect.
  kTimeOut,       // Entry `index` gets no answer to its transaction.
  kHomeNoAnswer,  // Request `index` gets no answer from the home.
  kHomeDead,      // Membership at its entry holds the home for dead.
  kFinish,        // Running request `index` ends with verdict `choice`.
  kDisconnect,    // The caller of request `index` leaves.
  kCrash,         // Entry `index` restarts as a new incarnation.
  kTick,          // The clock of entry `index` moves to its next timer.
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

std::vector<Op> EnabledOps(const World& world);

// Returns the record whose request is passed to the home and has no answer, or
// nullptr.
const ClaimRecord* FindForwardedRecord(const World& world,
                                       const Request& request);

// Whether the operation counts against Budgets::faults.
bool IsFault(const World& world, const Op& op);

bool IsHomeDead(const World& world, const std::string& key);

// Applies the operation and sets World::fault if a check fails.
void ApplyOp(World& world, const Op& op);

// Lets everything in transit arrive and time pass. Sets World::fault if a
// request then has no decision.
void RunToQuiescence(World world, std::string& fault);

std::uint64_t HashWorld(const World& world);

}  // namespace cicadadrum::test

#endif  // CICADADRUM_TESTS_CLAIM_WORLD_H_
