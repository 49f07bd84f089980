// One entry VM as a member of the fleet. A FleetNode drives LibMembership over
// LibPeer, exchanges observations of backend servers and messages about quotas
// as datagrams on the same port, and passes rows of the store to other entry
// VMs.

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
#include "cicadadrum/routing/actions.h"
#include "cicadadrum/routing/events.h"

namespace cicadadrum {

struct FleetNodeSettings {
  EntryVm self;
  Incarnation incarnation;
  std::vector<std::string> seeds;  // Peer addresses; `self` may be among them.
  // See MembershipOptions::first_fetch_delay.
  Duration first_fetch_delay{};
};

// All handlers must be set. They are called on the event loop.
struct FleetNodeHandlers {
  // The set of live entry VMs, or what is known of them, has changed. This
  // entry VM comes first in the list.
  std::function<void(const std::vector<EntryVm>&)> members_changed;
  // A newer configuration has arrived from a peer or through
  // AnnounceConfiguration.
  std::function<void(std::uint64_t version, const std::string& body)>
      configuration_adopted;
  // A newer version of an item other than the configuration has arrived from a
  // peer or through AnnounceItem.
  std::function<void(const ItemVersion&)> item_adopted;
  // Another entry VM has sent its observations of servers.
  std::function<void(const std::vector<routing::ServerObservation>&)>
      observations_received;
  // Another entry VM has sent a message about quotas.
  std::function<void(const quota::QuotaMessage&)> quota_message_received;
};

struct DatagramCounters {
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;  // Without the headers of UDP and IP.
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

  // Listens on the peer address and starts to exchange messages with the peers.
  // Errors: kAddressInvalid, kBindFailed.
  boost::leaf::result<void> Start();

  // Notifies the peers that this entry VM is stopping.
  void Leave();

  // Announces a change to the peers.
  void AnnounceConfiguration(std::uint64_t version, const std::string& body);
  void AnnounceItem(const ItemVersion& item);

  // Sends the observations to the receivers that are known members, as
  // datagrams that may be lost.
  void SendObservations(const routing::ShareObservations& share);

  // Sends the message to its receiver, if that is a known member, as a datagram
  // that may be lost.
  void SendQuotaMessage(const routing::SendQuotaMessage& send);

  // Returns the number and the total size of the datagrams about quotas that
  // were sent.
  const DatagramCounters& quota_datagrams() const;

  // Updates the rows of a table that this entry VM passes to its peers.
  void UpdateRelayRows(const std::string& table,
                       const discovery::RelayRowsUpdated& update);

  // Requests rows from the entry VM `peer` and calls `done` once. The response
  // is kNoAnswer if none arrives within `timeout`.
  void RequestRows(const std::string& peer,
                   const discovery::RelayRequest& request,
                   Duration timeout,
                   std::function<void(const discovery::RelayResponse&)> done);

  // Returns the sources from which this entry VM should read the store's
  // tables.
  discovery::SourcesChanged RowSources() const;

  // Returns the live entry VMs, this one first.
  std::vector<EntryVm> LiveEntries() const;
  const MembershipState& state() const;
  // Returns the counters of the calls from other entry VMs.
  const PeerCounters& served_calls() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_NODE_FLEET_NODE_H_
