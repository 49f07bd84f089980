// Events and actions of membership. The front end turns bytes into events and
// actions into bytes and decides nothing.

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

enum class ExchangeKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,  // Asks the receiver to probe `target` for the sender.
  kPush,         // Items or members the receiver may lack; no answer.
  kPull,  // Bucket digests; answered by a push of what the receiver lacks.
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

// Mirrors PeerHeader and ExchangeMessage of Schemas/peer.capnp; the front end
// adds and checks the protocol version.
struct ExchangeMessage {
  std::string sender;
  std::uint64_t incarnation = 0;
  std::uint64_t configuration_version = 0;  // In force at the sender.
  ExchangeKind kind = ExchangeKind::kPing;
  std::uint64_t sequence = 0;  // Of the probe; an ack repeats it.
  std::string
      target;  // For kPingRequest, and for an ack passed on by a helper.
  std::vector<MemberUpdate> members;
  std::vector<ItemVersion> items;
  std::uint64_t digest = 0;  // High half: items held; low half: live members.
};

// --- Events ---

// The time of the last WakeAt has come.
struct MembershipTimerExpired {};

struct MessageReceived {
  ExchangeMessage message;
};

// An operator or another part of this entry VM sets an item. A leaving mark
// that the table has not recorded has the value "leaving". `body` is set for a
// configuration only.
struct LocalChange {
  ItemVersion item;
  std::string body;
};

// A caller named this configuration version.
struct ConfigurationFloorRaised {
  std::uint64_t version = 0;
};

// Answer to FetchItem.
struct ItemFetched {
  std::string key;
  std::uint64_t version = 0;
  bool found = false;
  std::string body;
};

// Answer to ReadVersionRow: the row configuration/current and, if asked for,
// the rows of the leaving marks.
struct StoreRowRead {
  std::vector<ItemVersion> items;
  bool include_marks = false;
};

// The store did not answer ReadVersionRow or refused it.
struct StoreReadFailed {};

// Answer to WriteMark. `recorded` is false if the table did not take it.
struct MarkWritten {
  ItemVersion item;
  bool recorded = false;
};

// The platform's list of entry VMs. It lags, so it only adds addresses to try.
struct PlatformListRead {
  std::vector<EntryVm> entries;
};

// This process stops: tell the peers.
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

// Send to the entry VM `to` at `address`. Delivery is not confirmed.
struct SendMessage {
  std::string to;
  std::string address;
  ExchangeMessage message;
};

// The record of a member changed; `restarted` if it has a new incarnation.
// LiveMembers() gives the list for MembersChanged of the request core.
struct MemberChanged {
  MemberUpdate record;
  bool restarted = false;
};

// This node lost or regained contact with all peers; LiveMembers() changes.
struct IsolationChanged {
  bool isolated = false;
};

// The item is in force here from now on.
struct ItemAdopted {
  ItemVersion item;
  std::string body;
};

enum class FetchSource : std::uint8_t { kPeer, kStore };

template <>
struct EnumNames<FetchSource> {
  static constexpr auto kTable = std::to_array<EnumName<FetchSource>>({
      {FetchSource::kPeer, "peer"},
      {FetchSource::kStore, "store"},
  });
};

// Fetch the body of a configuration: from the peer by key and version, from the
// object store by `hash`. Answered by ItemFetched.
struct FetchItem {
  FetchSource source = FetchSource::kPeer;
  std::string peer;     // For kPeer.
  std::string address;  // For kPeer.
  std::string key;
  std::uint64_t version = 0;
  std::string hash;
};

// Read the row configuration/current, and the marks if `include_marks`.
// Answered by StoreRowRead or StoreReadFailed.
struct ReadVersionRow {
  bool include_marks = false;
};

// Write the mark to the table unless the table has a higher sequence. Answered
// by MarkWritten; writing it twice has no further effect.
struct WriteMark {
  ItemVersion item;
};

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
