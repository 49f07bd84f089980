// Drives LibMembership: who is live, which configuration and leaving marks are
// in force.

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

class FleetLink {
 public:
  using EventSink = std::function<void(const Event&)>;

  // `sink` receives ConfigurationAdopted, MembersChanged, PeerLost,
  // ServersChanged and MarksConfirmed.
  FleetLink(EventLoop& loop,
            const EntrySettings& settings,
            const Incarnation& incarnation,
            PeerClient& peers,
            PlatformLink& platform,
            EventSink sink);

  void Start();
  void Leave();

  // A message of a peer.
  void HandleExchange(const PeerInfo& sender, const PeerExchange& exchange);
  std::optional<PeerItem> FindPeerItem(const std::string& key,
                                       std::uint64_t version) const;

  // A caller named this configuration version.
  void RaiseConfigurationFloor(std::uint64_t version);

  // Sets or removes a leaving mark. `done` gets the mark's sequence and whether
  // the table has recorded it; sequence 0 means that the change was refused,
  // because removing a mark needs the table.
  void ChangeMark(
      const std::string& server,
      bool leaving,
      const std::function<void(std::uint64_t sequence, bool recorded)>& done);

  // Tells all entry VMs that a request is blocked, or no longer blocked.
  void PublishBlockedState(const BlockedItem& item);

  // Takes over the platform's list of backend servers.
  void SetServers(std::vector<BackendServer> servers);

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
  std::vector<BackendServer> servers_;  // As the platform lists them.
  bool servers_known_ = false;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_FLEET_LINK_H_
