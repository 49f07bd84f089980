// Events and actions of membership. The front end decodes events and encodes
// actions, and makes no decisions.

#ifndef CICADADRUM_MEMBERSHIP_EVENTS_H_
#define CICADADRUM_MEMBERSHIP_EVENTS_H_

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/time.h"
#include "cicadadrum/membership/item.h"
#include "cicadadrum/membership/member.h"

namespace cicadadrum {

// Kinds of messages that members exchange.
enum class ExchangeKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,  // Requests that the receiver probes `target` for the sender.
  kPush,         // Items or members the receiver may lack; no response.
  kPull,         // Digests; the response is a push of what the sender lacks.
};

template <>
struct EnumNames<ExchangeKind> {
  static constexpr auto kTable = std::to_array<EnumName<ExchangeKind>>({
      {ExchangeKind::kPing, "ping"},
      {ExchangeKind::kAck, "ack"},
      {ExchangeKind::kPingRequest, "ping-request"},
      {ExchangeKind::kPush, "push"},
      {ExchangeKind::kPull, "pull"},
  });
};

// Mirrors PeerHeader and ExchangeMessage of Schemas/peer.capnp. The front end
// adds and checks the protocol version.
struct ExchangeMessage {
  std::string sender;
  std::uint64_t incarnation = 0;            // Of the sender's process.
  std::uint64_t configuration_version = 0;  // In force at the sender.
  ExchangeKind kind = ExchangeKind::kPing;
  std::uint64_t sequence = 0;  // Of the probe or pull; the response repeats it.
  // For kPingRequest: the member to probe. For an ack that a helper passes on:
  // the member that sent the ack to the helper.
  std::string target;
  std::vector<MemberUpdate> members;
  std::vector<ItemVersion> items;
  // High half: digest of the items in force; low half: of the live members.
  std::uint64_t digest = 0;
};

// --- Events ---

// The time of the last MembershipWake has been reached.
struct MembershipTimerExpired {};

// A peer's message arrived.
struct MessageReceived {
  ExchangeMessage message;
};

// An operator or another part of this entry VM sets an item. The value of a
// leaving mark that the table has not recorded is "leaving". `body` is set for
// a configuration only.
struct LocalChange {
  ItemVersion item;
  std::string body;
};

// A caller's request named this configuration version, so the version exists.
struct ConfigurationFloorRaised {
  std::uint64_t version = 0;
};

// Response to FetchItem.
struct ItemFetched {
  std::string key;
  std::uint64_t version = 0;
  bool found = false;  // False if the source does not have this version.
  std::string body;
};

// Response to ReadVersionRow: the row configuration/current and, with
// `include_marks`, the rows of the leaving marks.
struct StoreRowRead {
  std::vector<ItemVersion> items;
  bool include_marks = false;
};

// The store did not respond to ReadVersionRow or refused it.
struct StoreReadFailed {};

// Response to WriteMark. `recorded` is false if the table did not accept the
// mark.
struct MarkWritten {
  ItemVersion item;
  bool recorded = false;
};

// The platform's list of entry VMs. The list lags behind the fleet, so
// membership only uses it as additional addresses to contact.
struct PlatformListRead {
  std::vector<EntryVm> entries;
};

// This process is about to stop, and membership reports this to peers.
struct LeaveRequested {};

using MembershipEvent = std::variant<MembershipTimerExpired,
                                     MessageReceived,
                                     LocalChange,
                                     ConfigurationFloorRaised,
                                     ItemFetched,
                                     StoreRowRead,
                                     StoreReadFailed,
                                     MarkWritten,
                                     PlatformListRead,
                                     LeaveRequested>;

// --- Actions ---

// Send `message` to the entry VM `to` at `address`. Delivery is not confirmed.
struct SendMessage {
  std::string to;
  std::string address;
  ExchangeMessage message;
};

// The record of a member changed; `restarted` is set if the member has a new
// incarnation. LiveMembers() returns the list for MembersChanged of the request
// core.
struct MemberChanged {
  MemberUpdate record;
  bool restarted = false;
};

// This node lost or regained contact with all peers, which changes
// LiveMembers().
struct IsolationChanged {
  bool isolated = false;
};

// The item is in force at this node from now on.
struct ItemAdopted {
  ItemVersion item;
  std::string body;
};

// Where the body of a configuration is fetched from.
enum class FetchSource : std::uint8_t { kPeer, kStore };

template <>
struct EnumNames<FetchSource> {
  static constexpr auto kTable = std::to_array<EnumName<FetchSource>>({
      {FetchSource::kPeer, "peer"},
      {FetchSource::kStore, "store"},
  });
};

// Fetch the body of a configuration: from a peer by key and version, or from
// the object store by `hash`. The front end responds with ItemFetched.
struct FetchItem {
  FetchSource source = FetchSource::kPeer;
  std::string peer;     // For kPeer.
  std::string address;  // For kPeer.
  std::string key;
  std::uint64_t version = 0;
  std::string hash;
};

// Read the row configuration/current, and the rows of the leaving marks if
// `include_marks`. The front end responds with StoreRowRead or StoreReadFailed.
struct ReadVersionRow {
  bool include_marks = false;
};

// Write the mark to the table unless the table has a higher sequence. The front
// end responds with MarkWritten. The write is idempotent.
struct WriteMark {
  ItemVersion item;
};

// Send MembershipTimerExpired at `at`. Replaces the time of earlier
// MembershipWakes.
struct MembershipWake {
  TimePoint at = kNever;
};

using MembershipAction = std::variant<SendMessage,
                                      MemberChanged,
                                      IsolationChanged,
                                      ItemAdopted,
                                      FetchItem,
                                      ReadVersionRow,
                                      WriteMark,
                                      MembershipWake>;
using MembershipActions = std::vector<MembershipAction>;

}  // namespace cicadadrum

#endif  // CICADADRUM_MEMBERSHIP_EVENTS_H_
