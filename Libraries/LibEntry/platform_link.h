// Reads the configuration, the leaving marks and the VM list from the platform,
// and writes claims and leaving marks. Uses LibStore.

#ifndef CICADADRUM_ENTRY_PLATFORM_LINK_H_
#define CICADADRUM_ENTRY_PLATFORM_LINK_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cicadadrum/claim/claim.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/membership/item.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/store/store_client.h"

namespace cicadadrum {

// Reads and writes the platform's table, object store and VM list. Except for
// the observer, every callback is called exactly once. PlatformLink makes no
// decisions: a read that failed or could not be decoded is reported as
// std::nullopt.
class PlatformLink {
 public:
  // `loop` must outlive the object.
  PlatformLink(EventLoop& loop,
               const Deployment& deployment,
               const Incarnation& incarnation);

  // Sets the function that is called when the platform becomes unreachable or
  // reachable again.
  void SetObserver(std::function<void(bool is_reachable)> observer);

  // Reads the platform's list of backend servers. Timeout: 2 seconds.
  void ReadServers(
      std::function<void(const std::optional<std::vector<BackendServer>>&)>
          done);

  // Reads the row with the current configuration version and, if
  // `include_marks` is set, the rows of the leaving marks. Timeout: 2 seconds
  // for each of the two reads.
  void ReadItems(
      bool include_marks,
      std::function<void(const std::optional<std::vector<ItemVersion>>&)> done);

  // Reads the configuration with this hash from the object store. `done`
  // receives std::nullopt if the object does not exist or the read failed.
  // Timeout: 2 seconds.
  void ReadBody(const std::string& hash,
                std::function<void(const std::optional<std::string>&)> done);

  // Writes a leaving mark unless the table has a mark of this server with the
  // same or a higher sequence. `recorded` is true if the table is known to have
  // a mark with at least this sequence afterwards; false means that the read
  // failed or the write was not committed.
  void WriteLeavingMark(const std::string& server,
                        std::uint64_t sequence,
                        bool leaving,
                        const std::function<void(bool recorded)>& done);

  // Inserts the rows of claims. Timeout: 2 seconds.
  void WriteClaimRows(const WriteClaims& write,
                      std::function<void(const ClaimWriteCompleted&)> done);
  // Stores the result of a finished request for repeats with the same request
  // key. Failures are logged at level debug. Timeout: 30 seconds.
  void StoreClaimResult(const StoreResult& result);

 private:
  void ReadMarks(
      std::vector<ItemVersion> items,
      std::function<void(const std::optional<std::vector<ItemVersion>>&)> done);

  StoreClient store_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_PLATFORM_LINK_H_
