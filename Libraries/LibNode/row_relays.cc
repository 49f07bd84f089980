// Drives the relays of LibDiscovery, one per table.

#include "row_relays.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cicadadrum {

RowRelays::RowRelays(EventLoop& loop,
                     std::uint64_t first_sequence,
                     SendResponse send_response)
    : loop_(loop),
      first_sequence_(first_sequence),
      send_response_(std::move(send_response)),
      timer_(loop, [this] {
        std::vector<std::string> tables;
        for (const auto& [table, relay] : relays_)
          tables.push_back(table);
        for (const std::string& table : tables)
          Run(table, discovery::RelayTimerExpired{});
      }) {}

void RowRelays::UpdateRows(const std::string& table,
                           const discovery::RelayRowsUpdated& update) {
  relays_.try_emplace(table, discovery::MakeRelayState(first_sequence_));
  Run(table, update);
}

void RowRelays::HandleRequest(std::uint64_t call,
                              const discovery::RelayRequest& request) {
  if (!relays_.contains(request.table))
    return send_response_(call, {.failure = discovery::TableFailure::kBehind});
  Run(request.table, discovery::RelayRequestReceived{call, request});
}

void RowRelays::CancelRequest(std::uint64_t call) {
  for (auto& [table, relay] : relays_) {
    discovery::RelayActions actions;
    StepRelay(relay, discovery::RelayRequestCancelled{call},
              loop_.NowWithSuspensions(), actions);
  }
}

void RowRelays::Run(const std::string& table,
                    const discovery::RelayEvent& event) {
  discovery::RelayActions actions;
  StepRelay(relays_.at(table), event, loop_.NowWithSuspensions(), actions);
  for (const discovery::RelayAction& action : actions) {
    if (const auto* reply = std::get_if<discovery::SendRelayResponse>(&action))
      send_response_(reply->call, reply->response);
    if (const auto* wake = std::get_if<discovery::RelayWake>(&action))
      wake_times_[table] = wake->at;
  }
  Schedule();
}

void RowRelays::Schedule() {
  TimePoint earliest = kNever;
  for (const auto& [table, at] : wake_times_)
    earliest = std::min(earliest, at);
  if (earliest == kNever)
    return timer_.Cancel();
  timer_.Schedule(loop_.Now() + (earliest - loop_.NowWithSuspensions()));
}

}  // namespace cicadadrum
