// Choice of the server for a request, and the slots that each server offers.

#ifndef CICADADRUM_STEERING_POOL_SERVERS_H_
#define CICADADRUM_STEERING_POOL_SERVERS_H_

#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// Recomputes the usable slots and the index entries of a server. Must be called
// after any of its members has changed.
void RefreshServer(Pool& pool, std::uint32_t index, TimePoint now);

// Sets the state of a server and the time of its next probe (kNever unless the
// state is kSlow or kDown).
void SetServerState(Pool& pool,
                    std::uint32_t index,
                    ServerState state,
                    TimePoint probe_at,
                    TimePoint now);

// Lets a server that is cold accept one request at a time, and more as requests
// succeed.
void StartWarmup(Pool& pool, std::uint32_t index, TimePoint now);

// Result of ChooseServer. `server` is an index in Pool::servers and `probe`
// tells whether the request serves as a probe; both are valid only if `found`
// is true.
struct ServerChoice {
  bool found = false;
  std::uint32_t server = 0;
  bool probe = false;
};

// Chooses the server for `request`: a server whose probe is due and suits the
// request, the preferred server, or the least loaded one. `found` is false if
// no server has a slot for the request.
ServerChoice ChooseServer(const Pool& pool,
                          const SlotRequest& request,
                          TimePoint now);

// Returns whether any request of this class could be granted a slot at `now`.
bool HasFreeSlot(const Pool& pool, RequestClass request_class, TimePoint now);

// Returns whether some server could ever run `request`: a listed server that is
// neither leaving nor avoided, and that is up, slow or due for a probe.
bool HasCandidate(const Pool& pool, const SlotRequest& request, TimePoint now);

// Adds a lease to its server, or removes it.
void AttachLease(Pool& pool,
                 std::uint32_t index,
                 std::uint64_t number,
                 TimePoint now);
void DetachLease(Pool& pool,
                 const SlotLease& lease,
                 std::uint64_t number,
                 TimePoint now);

// Replaces the list of servers.
void ReplaceServers(Pool& pool,
                    const std::vector<BackendServer>& servers,
                    TimePoint now);

}  // namespace cicadadrum

#endif  // CICADADRUM_STEERING_POOL_SERVERS_H_
