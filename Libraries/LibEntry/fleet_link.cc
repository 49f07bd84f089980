// Passes events to LibMembership and executes the resulting actions.

#include "fleet_link.h"

#include <charconv>

#include "cicadadrum/base/error.h"
#include "cicadadrum/node/peer_codec.h"
#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

// The next probe makes up for a lost message, so the call that sends a message
// has a short deadline.
constexpr Duration kMessageDeadline = Seconds(1);
constexpr Duration kFetchDeadline = Seconds(1);

constexpr std::string_view kBlockedValue = "blocked";
constexpr std::string_view kUnblockedValue = "allowed";

std::string MarkKey(const std::string& server) {
  return std::string(kLeavingPrefix) + server;
}

bool IsMarkedLeaving(const ActiveItem* item) {
  return item != nullptr && item->value != NameOf(MarkValue::kCleared);
}

std::vector<EntryVm> OtherEntries(const EntrySettings& settings) {
  std::vector<EntryVm> others = settings.deployment.entries;
  std::erase_if(others, [&](const EntryVm& entry) {
    return entry.name == settings.self.name;
  });
  return others;
}

}  // namespace

FleetLink::FleetLink(EventLoop& loop,
                     const EntrySettings& settings,
                     const Incarnation& incarnation,
                     PeerClient& peers,
                     PlatformLink& platform,
                     EventSink sink)
    : loop_(loop),
      settings_(settings),
      peers_(peers),
      platform_(platform),
      sink_(std::move(sink)),
      state_(MakeMembershipState(settings.self,
                                 incarnation.high,
                                 OtherEntries(settings),
                                 incarnation.low,
                                 loop.Now())),
      timer_(loop, [this] { HandleEvent(MembershipTimerExpired{}); }) {}

void FleetLink::Start() {
  HandleEvent(MembershipTimerExpired{});
}

void FleetLink::Leave() {
  HandleEvent(LeaveRequested{});
}

void FleetLink::HandleEvent(const MembershipEvent& event) {
  MembershipActions actions;
  StepMembership(state_, event, loop_.Now(), actions);
  for (const MembershipAction& action : actions)
    std::visit([this](const auto& alternative) { Execute(alternative); },
               action);
  if (state_.marks_confirmed_at)
    sink_(MarksConfirmed{*state_.marks_confirmed_at});
}

void FleetLink::HandleExchange(const PeerInfo& sender,
                               const PeerExchange& exchange) {
  HandleEvent(MessageReceived{FromPeerExchange(sender, exchange)});
}

std::optional<PeerItem> FleetLink::FindPeerItem(const std::string& key,
                                                std::uint64_t version) const {
  const ActiveItem* active = FindItem(state_, key);
  if (active == nullptr || active->version != version)
    return std::nullopt;
  return PeerItem{key, active->version, active->body};
}

void FleetLink::RaiseConfigurationFloor(std::uint64_t version) {
  if (version > ActiveConfigurationVersion(state_))
    HandleEvent(ConfigurationFloorRaised{version});
}

bool FleetLink::IsDead(const std::string& entry) const {
  const Member* member = FindMember(state_, entry);
  return member != nullptr && !IsLive(member->record.state) && !state_.isolated;
}

void FleetLink::ChangeMark(
    const std::string& server,
    bool leaving,
    const std::function<void(std::uint64_t sequence, bool recorded)>& done) {
  const std::string key = MarkKey(server);
  const ActiveItem* active = FindItem(state_, key);
  const std::uint64_t previous_sequence =
      active == nullptr ? 0 : active->version;
  if (IsMarkedLeaving(active) == leaving)
    return done(
        previous_sequence,
        active == nullptr || active->value != NameOf(MarkValue::kLeaving));
  const std::uint64_t sequence = previous_sequence + 1;
  // A leaving mark only removes work from a server, so it takes effect at this
  // entry VM and at the peers before the table has recorded it.
  if (leaving)
    HandleEvent(LocalChange{
        .item = {key, sequence, std::string(NameOf(MarkValue::kLeaving))}});
  platform_.WriteLeavingMark(
      server, sequence, leaving,
      [this, key, sequence, leaving, done](bool recorded) {
        const MarkValue value =
            leaving ? MarkValue::kLeavingRecorded : MarkValue::kCleared;
        if (recorded)
          HandleEvent(
              LocalChange{.item = {key, sequence, std::string(NameOf(value))}});
        done(leaving || recorded ? sequence : 0, recorded);
      });
}

void FleetLink::SetServers(std::vector<BackendServer> servers) {
  servers_ = std::move(servers);
  servers_known_ = true;
  PublishServers();
}

// Marks a server as leaving if the platform lists it as leaving or an operator
// has set a leaving mark.
void FleetLink::PublishServers() {
  if (!servers_known_)
    return;
  ServersChanged changed{servers_};
  for (BackendServer& server : changed.servers) {
    if (IsMarkedLeaving(FindItem(state_, MarkKey(server.name))))
      server.leaving = true;
  }
  sink_(changed);
}

void FleetLink::PublishMembers() {
  sink_(MembersChanged{LiveMembers(state_, loop_.Now())});
}

void FleetLink::Execute(const SendMessage& action) {
  peers_.Exchange(action.address, ToPeerExchange(action.message),
                  loop_.Now() + kMessageDeadline,
                  [](const CallResult<CallAcknowledged>& /*result*/) {});
}

void FleetLink::Execute(const MemberChanged& action) {
  const MemberUpdate& record = action.record;
  LoggerFor("member")->info("{} is {}", record.vm.name, NameOf(record.state));
  PublishMembers();
  if (!IsLive(record.state) || action.restarted)
    sink_(PeerLost{record.vm.name});
}

void FleetLink::Execute(const IsolationChanged& action) {
  LoggerFor("member")->warn("{} contact with the peers",
                            action.isolated ? "lost" : "regained");
  PublishMembers();
}

void FleetLink::Execute(const ItemAdopted& action) {
  if (action.item.key == kConfigurationKey)
    return AdoptConfiguration(action);
  if (action.item.key.starts_with(kLeavingPrefix)) {
    LoggerFor("member")->info("{} is {}", action.item.key, action.item.value);
    PublishServers();
  }
  if (action.item.key.starts_with(kBlockedPrefix))
    AdoptBlocked(action.item);
}

void FleetLink::PublishBlockedState(const BlockedItem& item) {
  const std::string key =
      std::string(kBlockedPrefix) + std::to_string(item.fingerprint);
  const std::string_view value = item.blocked ? kBlockedValue : kUnblockedValue;
  HandleEvent(LocalChange{.item = {key, item.version, std::string(value)}});
}

void FleetLink::AdoptBlocked(const ItemVersion& item) {
  BlockedItem blocked{.version = item.version,
                      .blocked = item.value == kBlockedValue};
  const std::string_view digits =
      std::string_view(item.key).substr(kBlockedPrefix.size());
  const auto parsed = std::from_chars(
      digits.data(), digits.data() + digits.size(), blocked.fingerprint);
  if (parsed.ec != std::errc())
    return;
  LoggerFor("member")->warn("request {} is {}", blocked.fingerprint,
                            item.value);
  sink_(BlockedItemsReceived{{blocked}});
}

void FleetLink::AdoptConfiguration(const ItemAdopted& action) {
  const std::string source =
      "configuration version " + std::to_string(action.item.version);
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(
            configuration,
            ParseConfiguration(action.body, source, settings_.deployment));
        configuration.version = action.item.version;
        LoggerFor("member")->info("{} is in force", source);
        sink_(ConfigurationAdopted{configuration});
        return {};
      },
      [](const Error& error) {
        LoggerFor("member")->error("{}", error.detail);
      },
      [] { LoggerFor("member")->error("configuration can't be read"); });
}

void FleetLink::Execute(const FetchItem& action) {
  if (action.source == FetchSource::kStore) {
    platform_.ReadBody(
        action.hash, [this, action](const std::optional<std::string>& body) {
          HandleEvent(ItemFetched{action.key, action.version, body.has_value(),
                                  body.value_or("")});
        });
    return;
  }
  peers_.FetchItem(
      action.address, action.key, action.version, loop_.Now() + kFetchDeadline,
      [this, action](const CallResult<std::optional<PeerItem>>& result) {
        const bool found =
            result.outcome == CallOutcome::kAnswered && result.value;
        HandleEvent(ItemFetched{action.key, action.version, found,
                                found ? result.value->value : ""});
      });
}

void FleetLink::Execute(const ReadVersionRow& action) {
  platform_.ReadItems(
      action.include_marks,
      [this, action](const std::optional<std::vector<ItemVersion>>& items) {
        if (!items)
          return HandleEvent(StoreReadFailed{});
        HandleEvent(StoreRowRead{.items = *items,
                                 .include_marks = action.include_marks});
      });
}

void FleetLink::Execute(const WriteMark& action) {
  const std::string server = action.item.key.substr(kLeavingPrefix.size());
  platform_.WriteLeavingMark(
      server, action.item.version, true, [this, action](bool recorded) {
        HandleEvent(MarkWritten{.item = action.item, .recorded = recorded});
      });
}

void FleetLink::Execute(const MembershipWake& action) {
  timer_.Schedule(action.at);
}

}  // namespace cicadadrum
