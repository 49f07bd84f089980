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
  using Reply =
      std::function<void(std::uint64_t call, const discovery::RelayResponse&)>;

  // `first_sequence` must be larger than what an earlier run has used.
  RowRelays(EventLoop& loop, std::uint64_t first_sequence, Reply reply);

  void Feed(const std::string& table, const discovery::RelayRowsUpdated& fed);
  void Ask(std::uint64_t call, const discovery::RelayRequest& ask);
  void Drop(std::uint64_t call);

 private:
  void Run(const std::string& table, const discovery::RelayEvent& event);
  void Schedule();

  EventLoop& loop_;
  std::uint64_t first_sequence_;
  Reply reply_;
  std::map<std::string, discovery::RelayState> relays_;  // By table.
  std::map<std::string, TimePoint> wakes_;  // Clock with suspensions.
  Timer timer_;
};

}  // namespace cicadadrum

#endif  // LIBRARIES_LIBNODE_ROW_RELAYS_H_
