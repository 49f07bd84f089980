// One entry VM as a member of the fleet: drives LibMembership over LibPeer, and
// carries observations of backend servers as datagrams on the same port. It
// hands rows of the store on to other entry VMs.

#ifndef CICADADRUM_NODE_FLEET_NODE_H_
#define CICADADRUM_NODE_FLEET_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/leaf.hpp>

#include "cicadadrum/discovery/relay.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/kj_event_port.h"
#include "cicadadrum/membership/membership.h"
#include "cicadadrum/peer/messages.h"
#include "cicadadrum/routing/events.h"

namespace cicadadrum {

struct FleetNodeSettings {
  EntryVm self;
  Incarnation incarnation;
  std::vector<std::string> seeds;  // Peer addresses; may name this entry VM.
};

struct FleetNodeHandlers {
  // The live entry VMs, this one first.
  std::function<void(const std::vector<EntryVm>&)> members_changed;
  // A newer configuration, from a peer or from Announce.
  std::function<void(std::uint64_t version, const std::string& body)>
      configuration_adopted;
  // Another entry VM announced an item with this prefix.
  std::function<void(const ItemVersion&)> item_adopted;
  // Another entry VM shares what it has observed of servers.
  std::function<void(const std::vector<routing::ServerObservation>&)>
      observations_received;
};

class FleetNode {
 public:
  // `kj_loop` runs on `loop`; both must outlive the node.
  FleetNode(EventLoop& loop,
            KjLoop& kj_loop,
            const FleetNodeSettings& settings,
            FleetNodeHandlers handlers);
  ~FleetNode();
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  // Errors: kAddressInvalid, kBindFailed.
  boost::leaf::result<void> Start();

  // Tells the peers that this entry VM stops.
  void Leave();

  void AnnounceConfiguration(std::uint64_t version, const std::string& body);
  void AnnounceItem(const ItemVersion& item);

  // Sends to the live ones among the receivers.
  void SendObservations(const routing::ShareObservations& share);

  // What this entry VM knows of a table, for others that ask.
  void UpdateRelayRows(const std::string& table,
                       const discovery::RelayRowsUpdated& update);

  // Asks the live entry VM `peer`. An answer that does not come within
  // `timeout` is kNoAnswer.
  void RequestRows(const std::string& peer,
                   const discovery::RelayRequest& request,
                   Duration timeout,
                   std::function<void(const discovery::RelayResponse&)> done);

  // Where this entry VM is to read the store's tables.
  discovery::SourcesChanged RowSources() const;

  std::vector<EntryVm> LiveEntries() const;
  const MembershipState& state() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_NODE_FLEET_NODE_H_
