// Responds to requests of other entry VMs for rows of the store's tables.

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

  // `first_sequence` must not be 0 and must be larger than every sequence that
  // an earlier run of this entry VM used.
  RowRelays(EventLoop& loop,
            std::uint64_t first_sequence,
            SendResponse send_response);

  // Applies changes of a table; the first call makes the table available.
  void UpdateRows(const std::string& table,
                  const discovery::RelayRowsUpdated& update);
  // Responds through the SendResponse of the constructor, immediately or later.
  void HandleRequest(std::uint64_t call,
                     const discovery::RelayRequest& request);
  // Drops the request; no response follows.
  void CancelRequest(std::uint64_t call);

 private:
  void Run(const std::string& table, const discovery::RelayEvent& event);
  void Schedule();

  EventLoop& loop_;
  std::uint64_t first_sequence_;
  SendResponse send_response_;
  std::map<std::string, discovery::RelayState> relays_;  // By table.
  // By table, on the clock that includes suspensions.
  std::map<std::string, TimePoint> wake_times_;
  Timer timer_;
};

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBNODE_ROW_RELAYS_H_
