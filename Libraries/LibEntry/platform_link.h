// Reads of the configuration, the leaving marks and the VM list from the
// platform, and writes of claims and marks, on LibStore.

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

// Every callback is called once. Nothing is decided here: an answer that is
// missing is reported as such.
class PlatformLink {
 public:
  PlatformLink(EventLoop& loop,
               const Deployment& deployment,
               const Incarnation& incarnation);

  // Called when the platform is found down or up again.
  void SetObserver(std::function<void(bool is_reachable)> observer);

  void ReadServers(
      std::function<void(const std::optional<std::vector<BackendServer>>&)>
          done);

  // Reads the version row and, if `include_marks`, the rows of the leaving
  // marks.
  void ReadItems(
      bool include_marks,
      std::function<void(const std::optional<std::vector<ItemVersion>>&)> done);

  void ReadBody(const std::string& hash,
                std::function<void(const std::optional<std::string>&)> done);

  // Writes a mark unless the table has one with this sequence or a higher one.
  // `recorded` tells whether the table now has a mark with at least this
  // sequence.
  void WriteLeavingMark(const std::string& server,
                        std::uint64_t sequence,
                        bool leaving,
                        const std::function<void(bool recorded)>& done);

  void WriteClaimRows(const WriteClaims& write,
                      std::function<void(const WriteAnswered&)> done);
  void StoreClaimResult(const StoreResult& result);

 private:
  void ReadMarks(
      std::vector<ItemVersion> items,
      std::function<void(const std::optional<std::vector<ItemVersion>>&)> done);

  StoreClient store_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_PLATFORM_LINK_H_
