// The servers of a pool: which one gets the next request, and what each may
// take.

#ifndef CICADADRUM_STEERING_POOL_SERVERS_H_
#define CICADADRUM_STEERING_POOL_SERVERS_H_

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// Recomputes the usable slots and the index entries of a server after any of
// its members has changed.
void RefreshServer(Pool& pool, std::uint32_t index, TimePoint now);

// Sets the state, and the time of the next probe for kSlow and kDown.
void SetServerState(Pool& pool,
                    std::uint32_t index,
                    ServerState state,
                    TimePoint probe_at,
                    TimePoint now);

struct ServerChoice {
  bool found = false;
  std::uint32_t server = 0;
  bool probe = false;
};

// Chooses the server for `ask`: a probe that is due and suits the request, the
// preferred server, or the least loaded one. Nothing if no server has a slot
// for it.
ServerChoice ChooseServer(const Pool& pool,
                          const SlotRequest& request,
                          TimePoint now);

// Whether any request of this class could get a slot now.
bool HasFreeSlot(const Pool& pool, RequestClass request_class, TimePoint now);

// Whether some server could ever take `ask`: listed, neither leaving nor
// avoided, and up or due for a probe.
bool HasCandidate(const Pool& pool, const SlotRequest& request, TimePoint now);

// Adds and removes a lease at its server.
void AttachLease(Pool& pool,
                 std::uint32_t index,
                 std::uint64_t number,
                 TimePoint now);
void DetachLease(Pool& pool,
                 const SlotLease& lease,
                 std::uint64_t number,
                 TimePoint now);

// Takes over the list of servers.
void ReplaceServers(Pool& pool,
                    const std::vector<BackendServer>& servers,
                    TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_SERVERS_H_
