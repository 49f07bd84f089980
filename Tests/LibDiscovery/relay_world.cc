// Plays tables and relays against a store.

#include "relay_world.h"

#include <algorithm>
#include <utility>

namespace cicadadrum::discovery {

namespace {

constexpr Duration kOneWay = Milliseconds(5);

// What arrives at a frozen entry VM waits for it.
constexpr Duration kFrozenRetry = Milliseconds(10);

}  // namespace

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

std::string RelayWorld::RelayOf(const std::string& region) const {
  for (const auto& [name, entry] : entries_) {
    if (entry.self.region == region && entry.table.sources[0].peer.empty())
      return name;
  }
  return {};
}

void RelayWorld::Put(const std::string& key) {
  history_.push_back({.key = key, .value = "value", .version = ++version_});
  WakeFeeds();
}

void RelayWorld::Remove(const std::string& key) {
  history_.push_back({.key = key, .version = ++version_, .removed = true});
  WakeFeeds();
}

void RelayWorld::RunUntil(TimePoint end) {
  while (now < end) {
    now += Milliseconds(1);
    while (!later_.empty() && later_.begin()->first <= now) {
      const auto action = later_.begin()->second;
      later_.erase(later_.begin());
      action();
    }
    Tick();
  }
}

void RelayWorld::Later(Duration delay, std::function<void()> action) {
  later_.emplace(now + delay, std::move(action));
}

void RelayWorld::Tick() {
  std::erase_if(feeds_, [&](const Waiting& waiting) {
    if (now < waiting.until)
      return false;
    AnswerFeed(waiting);
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

void RelayWorld::Step(const std::string& name, const TableEvent& event) {
  RelayEntry& entry = entries_.at(name);
  if (entry.is_frozen)
    return Later(kFrozenRetry, [this, name, event] { Step(name, event); });
  TableActions actions;
  StepTable(entry.table, event, now, actions);
  RelayRowsUpdated fed;
  for (const TableAction& action : actions) {
    if (const auto* read = std::get_if<ReadTable>(&action))
      Perform(name, *read);
    if (const auto* follow = std::get_if<FollowTable>(&action))
      Perform(name, *follow);
    if (const auto* wake = std::get_if<TableWake>(&action))
      entry.table_wake = wake->at;
    if (const auto* changed = std::get_if<RowsChanged>(&action)) {
      fed.rows = changed->rows;
      for (const TableRow& row : changed->rows)
        entry.rows[row.key] = row;
      std::erase_if(entry.rows,
                    [](const auto& held) { return held.second.removed; });
    }
  }
  fed.version = entry.table.complete_version;
  const auto* answered = std::get_if<TableAnswered>(&event);
  if (answered != nullptr)
    fed.age = answered->age;
  if (entry.table.ever_read && (answered != nullptr || !fed.rows.empty()))
    StepRelayOf(name, fed);
}

void RelayWorld::StepRelayOf(const std::string& name, const RelayEvent& event) {
  RelayEntry& entry = entries_.at(name);
  RelayActions actions;
  StepRelay(entry.relay, event, now, actions);
  for (const RelayAction& action : actions) {
    if (const auto* wake = std::get_if<RelayWake>(&action))
      entry.relay_wake = wake->at;
    if (const auto* reply = std::get_if<SendRelayResponse>(&action)) {
      const auto asker = asked_.extract(reply->call);
      if (!asker.empty())
        Later(kOneWay, [done = asker.mapped(), answer = reply->answer] {
          done(answer);
        });
    }
  }
}

void RelayWorld::FailAfter(const std::string& name,
                           std::uint64_t call,
                           Duration delay) {
  Later(delay, [this, name, call] {
    Step(name, TableFailed{call, TableFailure::kNoAnswer});
  });
}

void RelayWorld::Perform(const std::string& name, const ReadTable& action) {
  FailAfter(name, action.call, action.timeout);
  if (!action.peer.empty())
    return AskPeer(name, action.call, action.peer, {.whole = true});
  ++entries_.at(name).store_calls;
  if (entries_.at(name).is_cut_off)
    return;
  Later(2 * kOneWay, [this, name, call = action.call] {
    std::map<std::string, TableRow> rows;
    for (const TableRow& row : history_)
      rows[row.key] = row;
    TableAnswered answered{.call = call, .version = version_};
    for (const auto& [key, row] : rows) {
      if (!row.removed)
        answered.rows.push_back(row);
    }
    Step(name, answered);
  });
}

void RelayWorld::Perform(const std::string& name, const FollowTable& action) {
  FailAfter(name, action.call, action.timeout);
  if (!action.peer.empty())
    return AskPeer(name, action.call, action.peer,
                   {.after = action.after,
                    .sequence = action.sequence,
                    .wait = action.wait});
  ++entries_.at(name).store_calls;
  if (entries_.at(name).is_cut_off)
    return;
  Later(kOneWay, [this, name, action] {
    feeds_.push_back({name, action, now + action.wait});
    WakeFeeds();
  });
}

void RelayWorld::AskPeer(const std::string& name,
                         std::uint64_t call,
                         const std::string& peer,
                         const RelayRequest& ask) {
  const std::uint64_t at_peer = next_call_++;
  asked_[at_peer] = [this, name, call](const RelayResponse& answer) {
    // When it wakes, its deadline passes before the answer is read.
    if (entries_.at(name).is_frozen)
      return;
    if (answer.failure)
      return Step(name, TableFailed{call, *answer.failure});
    Step(name, TableAnswered{.call = call,
                             .rows = answer.rows,
                             .version = answer.version,
                             .sequence = answer.sequence,
                             .age = answer.age});
  };
  Later(kOneWay, [this, peer, at_peer, ask] {
    if (!entries_.at(peer).is_frozen)
      StepRelayOf(peer, RelayRequestReceived{at_peer, ask});
  });
}

void RelayWorld::AnswerFeed(const Waiting& waiting) {
  TableAnswered answered{.call = waiting.call.call, .version = version_};
  for (const TableRow& row : history_) {
    if (row.version > waiting.call.after)
      answered.rows.push_back(row);
  }
  if (!entries_.at(waiting.entry).is_cut_off)
    Later(kOneWay,
          [this, entry = waiting.entry, answered] { Step(entry, answered); });
}

void RelayWorld::WakeFeeds() {
  std::erase_if(feeds_, [&](const Waiting& waiting) {
    if (waiting.call.after >= version_)
      return false;
    AnswerFeed(waiting);
    return true;
  });
}

}  // namespace cicadadrum::discovery
