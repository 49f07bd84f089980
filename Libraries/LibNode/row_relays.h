// Answers other entry VMs' questions for rows of the store's tables.

#ifndef LIBRARIES_LIBNODE_ROW_RELAYS_H_
#define LIBRARIES_LIBNODE_ROW_RELAYS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cicadadrum/discovery/relay.h"
#include "cicadadrum/loop/event_loop.h"

namespace cicadadrum {

class RowRelays {
 public:
  using SendResponse =
      std::function<void(std::uint64_t call, const discovery::RelayResponse&)>;

  // `first_sequence` must be larger than what an earlier run has used.
  RowRelays(EventLoop& loop, std::uint64_t first_sequence, SendResponse reply);

  void UpdateRows(const std::string& table,
                  const discovery::RelayRowsUpdated& update);
  void HandleRequest(std::uint64_t call,
                     const discovery::RelayRequest& request);
  void CancelRequest(std::uint64_t call);

 private:
  void Run(const std::string& table, const discovery::RelayEvent& event);
  void Schedule();

  EventLoop& loop_;
  std::uint64_t first_sequence_;
  SendResponse send_response_;
  std::map<std::string, discovery::RelayState> relays_;  // By table.
  std::map<std::string, TimePoint> wake_times_;  // Clock with suspensions.
  Timer timer_;
};

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBNODE_ROW_RELAYS_H_
