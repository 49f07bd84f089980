// Drives LibMembership over LibPeer.

#include "cicadadrum/node/fleet_node.h"

#include <deque>

#include "cicadadrum/loop/datagram_socket.h"
#include "cicadadrum/node/observation_codec.h"
#include "cicadadrum/node/peer_codec.h"
#include "cicadadrum/node/quota_codec.h"
#include "cicadadrum/peer/peer_client.h"
#include "cicadadrum/peer/peer_server.h"
#include "row_relays.h"

namespace cicadadrum {

namespace {

// The next probe makes up for a lost message, so the call for a message needs
// no longer deadline.
constexpr Duration kMessageDeadline = Seconds(1);
constexpr Duration kFetchDeadline = Seconds(1);

// Returns the seeds as entry VMs. Their addresses serve as names until the
// seeds respond.
std::vector<EntryVm> SeedEntries(const FleetNodeSettings& settings) {
  std::vector<EntryVm> seeds;
  for (const std::string& address : settings.seeds) {
    if (address != settings.self.peer_address)
      seeds.push_back({.name = address, .peer_address = address});
  }
  return seeds;
}

}  // namespace

struct FleetNode::Impl {
  Impl(EventLoop& event_loop,
       KjLoop& rpc_loop,
       const FleetNodeSettings& node_settings,
       FleetNodeHandlers node_handlers);

  void Run(const MembershipEvent& event);
  void HandleDatagram(std::string_view datagram);
  // Returns the peer address of a member, or an empty string if the entry VM is
  // not a member.
  std::string AddressOf(const std::string& entry) const;
  PeerSettings MakePeerSettings();
  PeerHandlers MakePeerHandlers();
  std::optional<PeerItem> FindPeerItem(const std::string& key,
                                       std::uint64_t version) const;

  void Execute(const SendMessage& action);
  void Execute(const MemberChanged& action);
  void Execute(const IsolationChanged& action);
  void Execute(const ItemAdopted& action);
  void Execute(const FetchItem& action);
  void Execute(const ReadVersionRow& action);
  void Execute(const WriteMark& action);
  void Execute(const MembershipWake& action);

  EventLoop& loop;
  FleetNodeSettings settings;
  FleetNodeHandlers handlers;
  KjLoop& kj_loop;
  PeerClient client;
  std::unique_ptr<PeerServer> server;
  MembershipState state;
  Timer timer;
  DatagramSocket datagrams;
  DatagramCounters quota_datagrams;
  RowRelays relays;
  std::deque<MembershipEvent>
      pending_events;  // In the order in which they are handled.
  bool is_handling_event = false;
};

FleetNode::Impl::Impl(EventLoop& event_loop,
                      KjLoop& rpc_loop,
                      const FleetNodeSettings& node_settings,
                      FleetNodeHandlers node_handlers)
    : loop(event_loop),
      settings(node_settings),
      handlers(std::move(node_handlers)),
      kj_loop(rpc_loop),
      client(kj_loop, MakePeerSettings()),
      state(MakeMembershipState(
          settings.self,
          settings.incarnation.high,
          SeedEntries(settings),
          settings.incarnation.low,
          loop.Now(),
          {.first_fetch_delay = settings.first_fetch_delay})),
      timer(loop, [this] { Run(MembershipTimerExpired{}); }),
      datagrams(
          loop,
          [this](std::string_view datagram) { HandleDatagram(datagram); }),
      relays(
          loop,
          settings.incarnation.high,
          [this](std::uint64_t call, const discovery::RelayResponse& response) {
            server->RespondToFollowRows(call, response);
          }) {}

void FleetNode::Impl::HandleDatagram(std::string_view datagram) {
  if (const auto message = DecodeQuotaMessage(datagram))
    return handlers.quota_message_received(*message);
  if (const auto observations = DecodeObservations(datagram))
    handlers.observations_received(*observations);
}

std::string FleetNode::Impl::AddressOf(const std::string& entry) const {
  const auto index = state.index_of.find(entry);
  return index == state.index_of.end()
             ? std::string()
             : state.members[index->second].record.vm.peer_address;
}

PeerSettings FleetNode::Impl::MakePeerSettings() {
  PeerSettings peer;
  peer.name = settings.self.name;
  peer.incarnation = settings.incarnation;
  peer.configuration_version = [this] {
    return ActiveConfigurationVersion(state);
  };
  peer.now = [this] { return loop.Now(); };
  peer.seed = settings.incarnation.low;
  return peer;
}

// Slots, leases and forwarded requests concern pool owners. A FleetNode has no
// pools and does not respond to them.
PeerHandlers FleetNode::Impl::MakePeerHandlers() {
  PeerHandlers peer_handlers;
  peer_handlers.request_slot = [](const PeerInfo&, const PoolKey&,
                                  const SlotRequest&) {};
  peer_handlers.cancel_slot = [](const PoolKey&, const std::string&,
                                 std::uint64_t) {};
  peer_handlers.return_slot = [](const PeerInfo&, const SlotReturn&) {};
  peer_handlers.request_leases = [](const PeerInfo&, const PoolKey&) {};
  peer_handlers.report_leases = [](const PeerInfo&, const LeasesReport&) {};
  peer_handlers.execute = [](std::uint64_t, const PeerInfo&,
                             const ForwardedRequest&) {};
  peer_handlers.cancel_execute = [](std::uint64_t) {};
  peer_handlers.exchange = [this](const PeerInfo& sender,
                                  const PeerExchange& exchange) {
    Run(MessageReceived{FromPeerExchange(sender, exchange)});
  };
  peer_handlers.fetch_item =
      [this](const PeerInfo& /*sender*/, const std::string& key,
             std::uint64_t version) { return FindPeerItem(key, version); };
  peer_handlers.follow_rows = [this](std::uint64_t call,
                                     const PeerInfo& /*sender*/,
                                     const discovery::RelayRequest& request) {
    relays.HandleRequest(call, request);
  };
  peer_handlers.cancel_follow_rows = [this](std::uint64_t call) {
    relays.CancelRequest(call);
  };
  return peer_handlers;
}

std::optional<PeerItem> FleetNode::Impl::FindPeerItem(
    const std::string& key,
    std::uint64_t version) const {
  const ActiveItem* active_item = FindItem(state, key);
  if (active_item == nullptr || active_item->version != version)
    return std::nullopt;
  return PeerItem{key, active_item->version, active_item->body};
}

// An event that arises while an action is performed is queued until all actions
// of the current event are done, so that the last MembershipWake belongs to the
// newest state.
void FleetNode::Impl::Run(const MembershipEvent& event) {
  pending_events.push_back(event);
  if (is_handling_event)
    return;
  is_handling_event = true;
  while (!pending_events.empty()) {
    MembershipActions actions;
    StepMembership(state, pending_events.front(), loop.Now(), actions);
    pending_events.pop_front();
    for (const MembershipAction& action : actions)
      std::visit([this](const auto& present) { Execute(present); }, action);
  }
  is_handling_event = false;
}

void FleetNode::Impl::Execute(const SendMessage& action) {
  client.Exchange(action.address, ToPeerExchange(action.message),
                  loop.Now() + kMessageDeadline,
                  [](const CallResult<CallAcknowledged>& /*result*/) {});
}

void FleetNode::Impl::Execute(const MemberChanged& /*action*/) {
  handlers.members_changed(LiveMembers(state, loop.Now()));
}

void FleetNode::Impl::Execute(const IsolationChanged& /*action*/) {
  handlers.members_changed(LiveMembers(state, loop.Now()));
}

void FleetNode::Impl::Execute(const ItemAdopted& action) {
  if (action.item.key == kConfigurationKey)
    return handlers.configuration_adopted(action.item.version, action.body);
  handlers.item_adopted(action.item);
}

// Bodies are fetched from peers only. The store's rows reach the node through
// AnnounceConfiguration and AnnounceItem.
void FleetNode::Impl::Execute(const FetchItem& action) {
  if (action.source == FetchSource::kStore)
    return Run(ItemFetched{action.key, action.version, false, {}});
  client.FetchItem(
      action.address, action.key, action.version, loop.Now() + kFetchDeadline,
      [this, action](const CallResult<std::optional<PeerItem>>& result) {
        const bool found =
            result.outcome == CallOutcome::kAnswered && result.value;
        Run(ItemFetched{action.key, action.version, found,
                        found ? result.value->value : std::string()});
      });
}

void FleetNode::Impl::Execute(const ReadVersionRow& /*action*/) {
  Run(StoreReadFailed{});
}

void FleetNode::Impl::Execute(const WriteMark& action) {
  Run(MarkWritten{.item = action.item, .recorded = false});
}

void FleetNode::Impl::Execute(const MembershipWake& action) {
  timer.Schedule(action.at);
}

FleetNode::FleetNode(EventLoop& loop,
                     KjLoop& kj_loop,
                     const FleetNodeSettings& settings,
                     FleetNodeHandlers handlers)
    : impl_(std::make_unique<Impl>(loop,
                                   kj_loop,
                                   settings,
                                   std::move(handlers))) {}

FleetNode::~FleetNode() = default;

boost::leaf::result<void> FleetNode::Start() {
  BOOST_LEAF_ASSIGN(
      impl_->server,
      PeerServer::Listen(impl_->kj_loop, impl_->settings.self.peer_address,
                         impl_->MakePeerSettings(), impl_->MakePeerHandlers()));
  BOOST_LEAF_CHECK(impl_->datagrams.Bind(impl_->settings.self.peer_address));
  impl_->Run(MembershipTimerExpired{});
  return {};
}

void FleetNode::Leave() {
  impl_->Run(LeaveRequested{});
}

void FleetNode::AnnounceConfiguration(std::uint64_t version,
                                      const std::string& body) {
  impl_->Run(LocalChange{
      .item = {std::string(kConfigurationKey), version, BodyHash(body)},
      .body = body});
}

void FleetNode::AnnounceItem(const ItemVersion& item) {
  impl_->Run(LocalChange{.item = item});
}

void FleetNode::SendObservations(const routing::ShareObservations& share) {
  const std::string datagram = EncodeObservations(share.observations);
  for (const std::string& receiver : share.receivers) {
    const std::string address = impl_->AddressOf(receiver);
    if (!address.empty())
      impl_->datagrams.Send(address, datagram);
  }
}

void FleetNode::SendQuotaMessage(const routing::SendQuotaMessage& send) {
  const std::string address = impl_->AddressOf(send.receiver);
  if (address.empty())
    return;
  const std::string datagram = EncodeQuotaMessage(send.message);
  impl_->datagrams.Send(address, datagram);
  ++impl_->quota_datagrams.datagrams;
  impl_->quota_datagrams.bytes += datagram.size();
}

const DatagramCounters& FleetNode::quota_datagrams() const {
  return impl_->quota_datagrams;
}

void FleetNode::UpdateRelayRows(const std::string& table,
                                const discovery::RelayRowsUpdated& update) {
  impl_->relays.UpdateRows(table, update);
}

void FleetNode::RequestRows(
    const std::string& peer,
    const discovery::RelayRequest& request,
    Duration timeout,
    std::function<void(const discovery::RelayResponse&)> done) {
  impl_->client.FollowRows(
      impl_->AddressOf(peer), request, impl_->loop.Now() + timeout,
      [done = std::move(done)](
          const CallResult<discovery::RelayResponse>& result) {
        if (result.outcome == CallOutcome::kAnswered)
          return done(result.value);
        done({.failure = discovery::TableFailure::kNoAnswer});
      });
}

discovery::SourcesChanged FleetNode::RowSources() const {
  std::vector<discovery::RelayCandidate> live;
  for (const EntryVm& entry : LiveEntries())
    live.push_back({entry.name, entry.region, entry.link_megabits_per_second});
  const EntryVm& self = impl_->settings.self;
  return discovery::ChooseSources(live, {self.name, self.region});
}

std::vector<EntryVm> FleetNode::LiveEntries() const {
  return LiveMembers(impl_->state, impl_->loop.Now());
}

const MembershipState& FleetNode::state() const {
  return impl_->state;
}

const PeerCounters& FleetNode::served_calls() const {
  return impl_->server->counters();
}

}  // namespace cicadadrum
