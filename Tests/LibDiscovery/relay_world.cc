// Runs tables and relays against a simulated store.

#include "relay_world.h"

#include <algorithm>
#include <utility>

namespace cicadadrum::discovery {

namespace {

constexpr Duration kOneWay = Milliseconds(5);

// Events that arrive at a frozen entry VM are retried after this time.
constexpr Duration kFrozenRetry = Milliseconds(10);

// Applies the rows and returns the keys of those with another content than the
// local copy had.
std::set<std::string> ApplyRows(const RowsChanged& changed,
                                std::map<std::string, TableRow>& rows) {
  std::set<std::string> needed_keys;
  for (const TableRow& row : changed.rows) {
    const auto known = rows.find(row.key);
    if (row.removed || known == rows.end() || known->second.value != row.value)
      needed_keys.insert(row.key);
    rows[row.key] = row;
  }
  std::erase_if(rows, [](const auto& stored) { return stored.second.removed; });
  return needed_keys;
}

}  // namespace

std::set<std::string> RelayEntry::Keys() const {
  std::set<std::string> keys;
  for (const auto& [key, row] : rows)
    keys.insert(key);
  return keys;
}

RelayWorld::RelayWorld(const std::vector<std::string>& names,
                       const TableOptions& options) {
  std::vector<RelayCandidate> live;
  live.reserve(names.size());
  for (const std::string& name : names)
    live.push_back({name, name.substr(0, name.find('-'))});
  for (const RelayCandidate& self : live)
    entries_.emplace(self.name,
                     RelayEntry{.self = self,
                                .table = MakeTableState(options, live.size()),
                                .relay = MakeRelayState(1000)});
  for (const RelayCandidate& self : live) {
    Step(self.name, ChooseSources(live, self));
    Step(self.name, TableTimerExpired{});
  }
}

std::vector<std::string> RelayWorld::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : entries_)
    names.push_back(name);
  return names;
}

std::string RelayWorld::RelayOf(const std::string& region) const {
  for (const auto& [name, entry] : entries_) {
    if (entry.self.region == region && entry.table.sources[0].peer.empty())
      return name;
  }
  return {};
}

void RelayWorld::Put(const std::string& key) {
  last_puts_[key] = {now, ++puts_};
  change_log_.push_back({.key = key,
                         .value = std::to_string(puts_),
                         .version = {era_, ++version_}});
  AnswerReadyFollows();
}

void RelayWorld::Repeat(const std::string& key) {
  change_log_.push_back({.key = key,
                         .value = std::to_string(last_puts_.at(key).number),
                         .version = {era_, ++version_}});
  AnswerReadyFollows();
}

std::set<std::string> RelayWorld::Keys() const {
  std::set<std::string> keys;
  for (const TableRow& row : change_log_) {
    if (row.removed)
      keys.erase(row.key);
    else
      keys.insert(row.key);
  }
  return keys;
}

void RelayWorld::Remove(const std::string& key) {
  change_log_.push_back(
      {.key = key, .version = {era_, ++version_}, .removed = true});
  AnswerReadyFollows();
}

void RelayWorld::Restore(std::uint64_t version) {
  std::erase_if(change_log_, [&](const TableRow& row) {
    return row.version.number > version;
  });
  version_ = version;
  log_begin_ = std::min(log_begin_, version);
  ++era_;
  AnswerReadyFollows();
}

void RelayWorld::RunUntil(TimePoint end) {
  while (now < end) {
    now += Milliseconds(1);
    while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
      const auto action = scheduled_.begin()->second;
      scheduled_.erase(scheduled_.begin());
      action();
    }
    RunTimers();
  }
}

void RelayWorld::RunAfter(Duration delay, std::function<void()> action) {
  scheduled_.emplace(now + delay, std::move(action));
}

void RelayWorld::RunTimers() {
  std::erase_if(open_follows_, [&](const OpenFollow& waiting) {
    if (now < waiting.until)
      return false;
    AnswerFollow(waiting);
    return true;
  });
  for (auto& [name, entry] : entries_) {
    if (entry.is_frozen)
      continue;
    if (entry.table_wake <= now)
      Step(name, TableTimerExpired{});
    if (entry.relay_wake <= now)
      StepRelayOf(name, RelayTimerExpired{});
  }
}

void RelayWorld::RecordConfirmation(RelayEntry& entry, Duration query_age) {
  const TimePoint confirmed_at = now - query_age;
  entry.confirmed_at = std::max(entry.confirmed_at, confirmed_at);
  for (const auto& [key, put] : last_puts_) {
    const auto row = entry.rows.find(key);
    if (put.at <= confirmed_at &&
        (row == entry.rows.end() || std::stoul(row->second.value) < put.number))
      ++false_confirmations;
  }
}

void RelayWorld::Step(const std::string& name, const TableEvent& received) {
  RelayEntry& entry = entries_.at(name);
  if (entry.is_frozen)
    return RunAfter(kFrozenRetry,
                    [this, name, received] { Step(name, received); });
  TableEvent event = received;
  if (auto* response = std::get_if<TableAnswered>(&event))
    response->delay = now - entry.called_at;
  TableActions actions;
  StepTable(entry.table, event, now, actions);
  RelayRowsUpdated update;
  for (const TableAction& action : actions) {
    if (const auto* read = std::get_if<ReadTable>(&action))
      Execute(name, *read);
    if (const auto* follow = std::get_if<FollowTable>(&action))
      Execute(name, *follow);
    if (const auto* confirmed = std::get_if<TableConfirmed>(&action);
        confirmed != nullptr && confirmed->query_age) {
      update.query_age = confirmed->query_age;
      RecordConfirmation(entry, *confirmed->query_age);
    }
    if (const auto* wake = std::get_if<TableWake>(&action))
      entry.table_wake = wake->at;
    if (const auto* changed = std::get_if<RowsChanged>(&action)) {
      update.rows =
          SelectRowsToRelay(*changed, ApplyRows(*changed, entry.rows));
    }
  }
  update.version = entry.table.complete_version;
  update.history_begin = entry.table.history_begin;
  const auto* answered = std::get_if<TableAnswered>(&event);
  if (answered != nullptr)
    update.age = answered->age;
  if (entry.table.initial_read_done &&
      (answered != nullptr || !update.rows.empty()))
    StepRelayOf(name, update);
}

void RelayWorld::StepRelayOf(const std::string& name, const RelayEvent& event) {
  RelayEntry& entry = entries_.at(name);
  RelayActions actions;
  StepRelay(entry.relay, event, now, actions);
  for (const RelayAction& action : actions) {
    if (const auto* wake = std::get_if<RelayWake>(&action))
      entry.relay_wake = wake->at;
    if (const auto* reply = std::get_if<SendRelayResponse>(&action)) {
      const auto handler = response_handlers_.extract(reply->call);
      if (!handler.empty())
        RunAfter(kOneWay, [done = handler.mapped(),
                           response = reply->response] { done(response); });
    }
  }
}

void RelayWorld::FailAfter(const std::string& name,
                           std::uint64_t call,
                           Duration delay) {
  RunAfter(delay, [this, name, call] {
    Step(name, TableFailed{call, TableFailure::kNoAnswer});
  });
}

void RelayWorld::Execute(const std::string& name, const ReadTable& action) {
  entries_.at(name).called_at = now;
  FailAfter(name, action.call, action.timeout);
  if (!action.peer.empty())
    return SendToPeer(name, action.call, action.peer, {.all_rows = true});
  ++entries_.at(name).store_calls;
  if (entries_.at(name).store_unreachable)
    return;
  RunAfter(2 * kOneWay, [this, name, call = action.call] {
    std::map<std::string, TableRow> rows;
    for (const TableRow& row : change_log_)
      rows[row.key] = row;
    TableAnswered answered{.call = call, .version = {era_, version_}};
    for (const auto& [key, row] : rows) {
      if (!row.removed)
        answered.rows.push_back(row);
    }
    for (TableRow& row : answered.rows)
      row.version.era = era_;
    Step(name, answered);
  });
}

void RelayWorld::Execute(const std::string& name, const FollowTable& action) {
  entries_.at(name).called_at = now;
  FailAfter(name, action.call, action.timeout);
  if (!action.peer.empty())
    return SendToPeer(name, action.call, action.peer,
                      {.after = action.after,
                       .sequence = action.sequence,
                       .wait = action.wait});
  ++entries_.at(name).store_calls;
  if (entries_.at(name).store_unreachable)
    return;
  RunAfter(kOneWay, [this, name, action] {
    open_follows_.push_back({name, action, now + action.wait});
    AnswerReadyFollows();
  });
}

void RelayWorld::SendToPeer(const std::string& name,
                            std::uint64_t call,
                            const std::string& peer,
                            const RelayRequest& request) {
  const std::uint64_t is_peer_call = next_call_++;
  response_handlers_[is_peer_call] = [this, name,
                                      call](const RelayResponse& response) {
    // A frozen entry VM drops the response: once it runs again, it handles the
    // timeout of the call first.
    if (entries_.at(name).is_frozen)
      return;
    if (response.failure)
      return Step(name,
                  TableFailed{call, *response.failure, response.version.era});
    Step(name, TableAnswered{.call = call,
                             .rows = response.rows,
                             .version = response.version,
                             .sequence = response.sequence,
                             .age = response.age,
                             .query_age = response.query_age,
                             .history_begin = response.history_begin});
  };
  RunAfter(kOneWay, [this, peer, is_peer_call, request] {
    if (!entries_.at(peer).is_frozen)
      StepRelayOf(peer, RelayRequestReceived{is_peer_call, request});
  });
}

void RelayWorld::AnswerFollow(const OpenFollow& waiting) {
  if (entries_.at(waiting.entry).store_unreachable)
    return;
  if (waiting.call.after.number > version_ ||
      waiting.call.after.number < log_begin_) {
    const TableFailed failed{waiting.call.call, TableFailure::kHistoryLost,
                             era_};
    return RunAfter(kOneWay, [this, entry = waiting.entry, failed] {
      Step(entry, failed);
    });
  }
  TableAnswered answered{.call = waiting.call.call,
                         .version = {era_, version_}};
  for (const TableRow& row : change_log_) {
    if (row.version.number > waiting.call.after.number)
      answered.rows.push_back(row);
  }
  for (TableRow& row : answered.rows)
    row.version.era = era_;
  RunAfter(kOneWay,
           [this, entry = waiting.entry, answered] { Step(entry, answered); });
}

void RelayWorld::AnswerReadyFollows() {
  std::erase_if(open_follows_, [&](const OpenFollow& waiting) {
    if (waiting.call.after.number == version_)
      return false;
    AnswerFollow(waiting);
    return true;
  });
}

}  // namespace cicadadrum::discovery
