// Hashes a world for the set of visited states.

#include "cicadadrum/base/hash.h"
#include "world.h"

namespace cicadadrum::test {

namespace {

struct StateWriter {
  std::string bytes;

  void Add(std::uint64_t number) {
    bytes.append(reinterpret_cast<const char*>(&number), sizeof(number));
  }
  void Add(const std::string& text) {
    Add(text.size());
    bytes += text;
  }
  void Add(TimePoint at) {
    Add(static_cast<std::uint64_t>(at.time_since_epoch().count()));
  }
  void Add(const Incarnation& incarnation) {
    Add(incarnation.high);
    Add(incarnation.low);
  }
  void Add(const ClaimRow& row) {
    Add(row.incarnation);
    Add(row.claim);
    Add(row.finished ? 1 : 0);
  }
  void Add(const ClaimRecord& record) {
    Add(static_cast<std::uint64_t>(record.phase));
    Add(record.claim);
    Add(record.running_request);
    Add(record.waiting.size());
    for (const ClaimRequested& requested : record.waiting) {
      Add(requested.request);
      Add(requested.deadline);
    }
    Add((record.maybe_written ? 1U : 0U) + (record.may_send ? 2U : 0U) +
        (record.forward_unanswered ? 4U : 0U));
    Add(static_cast<std::uint64_t>(record.unsent_verdict));
    Add(record.home_attempt);
    Add(record.home_request);
    Add(record.retry_at);
    Add(record.changed_at);
  }
  // The timers and the order of ended records are omitted, because the records
  // determine them.
  void Add(const ClaimState& claims) {
    Add(claims.incarnation);
    Add(claims.records.size());
    for (const auto& [key, record] : claims.records) {
      Add(key);
      Add(record);
    }
    for (const std::string& key : claims.batch_keys)
      Add(key);
    Add(claims.to_write.size());
    Add(claims.used.watermark);
    for (const std::uint64_t serial : claims.used.serials)
      Add(serial);
    for (const HashHistory* history :
         {&claims.used.other_keys, &claims.forward_origins}) {
      for (const std::uint64_t hash : history->hashes)
        Add(hash);
    }
    Add(claims.next_claim);
    Add(claims.next_batch);
    Add(claims.batch_in_flight);
    Add(claims.next_wake);
  }
  void Add(const WriteClaims& write) {
    Add(write.batch);
    for (const ClaimWrite& row : write.writes) {
      Add(row.key);
      Add(row.row);
    }
  }
  void Add(const StoreResult& store) {
    Add(store.key);
    Add(store.row);
  }
  void Add(const ClaimWriteCompleted& answered) {
    Add(answered.batch);
    for (const ClaimWriteResult& result : answered.results) {
      Add(result.key);
      Add(static_cast<std::uint64_t>(result.outcome));
      Add(result.row);
    }
  }
  void Add(const Forward& forward) {
    Add(forward.forwarded_from);
    Add(forward.attempt);
    Add(forward.key);
  }
  void Add(const ForwardAnswer& answer) {
    Add(answer.answer.request);
    Add(answer.answer.attempt);
    Add(static_cast<std::uint64_t>(answer.answer.verdict));
    Add(static_cast<std::uint64_t>(answer.answer.reason));
  }
};

}  // namespace

std::uint64_t HashWorld(const World& world) {
  StateWriter writer;
  for (const int remaining :
       {world.remaining.caller_requests, world.remaining.faults,
        world.remaining.crashes, world.remaining.ticks})
    writer.Add(static_cast<std::uint64_t>(remaining));
  for (const Entry& entry : world.entries) {
    writer.Add(entry.now);
    writer.Add(entry.claims);
  }
  for (const auto& [key, row] : world.table) {
    writer.Add(key);
    writer.Add(row);
  }
  // The sum makes the hash independent of the order of messages in transit.
  std::uint64_t messages = 0;
  for (const Message& message : world.messages) {
    StateWriter message_writer;
    message_writer.Add(message.entry);
    message_writer.Add(message.incarnation);
    message_writer.Add(message.body.index());
    std::visit([&](const auto& body) { message_writer.Add(body); },
               message.body);
    messages += HashBytes(message_writer.bytes);
  }
  writer.Add(messages);
  for (const std::uint64_t root : world.not_run)
    writer.Add(root);
  for (const Request& request : world.requests) {
    writer.Add(request.entry);
    writer.Add(request.incarnation);
    writer.Add(request.key);
    writer.Add(request.forwarded_from);
    writer.Add(request.root);
    writer.Add(request.forwarded_attempt);
    writer.Add(static_cast<std::uint64_t>(request.phase));
    writer.Add(request.caller_disconnected ? 1 : 0);
  }
  for (const Execution& execution : world.executions) {
    writer.Add(execution.key);
    writer.Add(execution.entry);
    writer.Add(execution.root);
  }
  return HashBytes(writer.bytes);
}

}  // namespace cicadadrum::test
