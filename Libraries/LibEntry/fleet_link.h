// Connects LibMembership with the peers, the platform and the event loop.
// LibMembership determines which entry VMs are live and which configuration and
// leaving marks are in force.

#ifndef CICADADRUM_ENTRY_FLEET_LINK_H_
#define CICADADRUM_ENTRY_FLEET_LINK_H_

#include <functional>
#include <map>
#include <string>

#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/membership/membership.h"
#include "cicadadrum/peer/peer_client.h"
#include "cicadadrum/steering/events.h"
#include "platform_link.h"

namespace cicadadrum {

// Passes events to StepMembership() and executes the resulting actions.
class FleetLink {
 public:
  using EventSink = std::function<void(const Event&)>;

  // `sink` receives BlockedItemsReceived, ConfigurationAdopted, MembersChanged,
  // PeerLost, ServersChanged and MarksConfirmed. All references must outlive
  // the object.
  FleetLink(EventLoop& loop,
            const EntrySettings& settings,
            const Incarnation& incarnation,
            PeerClient& peers,
            PlatformLink& platform,
            EventSink sink);

  // Starts the exchange of membership messages. Must be called once.
  void Start();
  // Notifies the peers that this entry VM leaves.
  void Leave();

  // Handles a membership message of the peer `sender`.
  void HandleExchange(const PeerInfo& sender, const PeerExchange& exchange);
  // Returns the item with this key, or std::nullopt if this entry VM does not
  // have this version of it.
  std::optional<PeerItem> FindPeerItem(const std::string& key,
                                       std::uint64_t version) const;

  // Requests a configuration version that a caller has seen, unless this
  // version or a later one is in force.
  void RaiseConfigurationFloor(std::uint64_t version);

  // Sets or removes the leaving mark of a server. `done` receives the sequence
  // of the mark and whether the table has recorded the mark. Sequence 0 means
  // that no change was made: either the table did not record the removal, which
  // requires the table, or the server never had a mark. `done` may be called
  // before this function returns.
  void ChangeMark(
      const std::string& server,
      bool leaving,
      const std::function<void(std::uint64_t sequence, bool recorded)>& done);

  // Publishes to all entry VMs that the request with this fingerprint is
  // blocked or no longer blocked.
  void PublishBlockedState(const BlockedItem& item);

  // Replaces the known list of backend servers by the platform's list.
  void SetServers(std::vector<BackendServer> servers);

  // Returns whether `entry` is a known entry VM that is not live. Returns false
  // while this entry VM is isolated, because it then can't distinguish a failed
  // peer from a lost connection.
  bool IsDead(const std::string& entry) const;
  const MembershipState& state() const { return state_; }

 private:
  void HandleEvent(const MembershipEvent& event);
  void Execute(const SendMessage& action);
  void Execute(const MemberChanged& action);
  void Execute(const IsolationChanged& action);
  void Execute(const ItemAdopted& action);
  void Execute(const FetchItem& action);
  void Execute(const ReadVersionRow& action);
  void Execute(const WriteMark& action);
  void Execute(const MembershipWake& action);
  void AdoptConfiguration(const ItemAdopted& action);
  void AdoptBlocked(const ItemVersion& item);
  void PublishServers();
  void PublishMembers();

  EventLoop& loop_;
  const EntrySettings& settings_;
  PeerClient& peers_;
  PlatformLink& platform_;
  EventSink sink_;
  MembershipState state_;
  Timer timer_;
  std::vector<BackendServer>
      servers_;  // The platform's list, without the leaving marks of operators.
  bool servers_known_ = false;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_FLEET_LINK_H_
