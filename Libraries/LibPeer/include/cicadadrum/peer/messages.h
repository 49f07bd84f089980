// Messages between entry VMs as plain structs. The structs mirror
// Schemas/peer.capnp; slot requests use the types of LibSteering.

#ifndef CICADADRUM_PEER_MESSAGES_H_
#define CICADADRUM_PEER_MESSAGES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/base/time.h"
#include "cicadadrum/base/verdict.h"
#include "cicadadrum/claim/claim.h"
#include "cicadadrum/discovery/relay.h"
#include "cicadadrum/model/deployment.h"
#include "cicadadrum/model/request.h"
#include "cicadadrum/steering/pool.h"

namespace cicadadrum {

// Sender of a call or of an answer, from the message's header.
struct PeerInfo {
  std::string name;
  Incarnation incarnation;
  std::uint64_t configuration_version = 0;  // In force at the sender.
  bool reads_compressed = false;  // The sender can read compressed values.
  bool operator==(const PeerInfo&) const = default;
};

// Answer of the pool owner to a slot request.
using SlotAnswer = std::variant<SlotGrant, SlotRefusal>;

// Returns a slot to the owner of its pool.
struct SlotReturn {
  PoolKey pool;
  std::uint64_t lease = 0;
  AttemptOutcome outcome = AttemptOutcome::kAnswered;
  Duration latency{};  // Not negative.
};

// Leases that an earlier owner of `pool` granted to the sender.
struct LeasesReport {
  PoolKey pool;
  std::vector<HeldLease> leases;
};

// A request that an entry VM forwards to the home of its request key.
struct ForwardedRequest {
  std::string client_account;
  std::string service;
  RequestClass request_class = RequestClass::kWrite;
  std::string key;
  std::string method;
  std::string path;
  std::string body;
  TimePoint deadline = kNever;
  std::string traceparent;
  std::uint64_t origin_request = 0;  // Number of the request at the sender.
  std::uint32_t origin_attempt = 0;
};

// Outcome of a forwarded request at the home of its key.
struct ForwardedAnswer {
  Verdict verdict = Verdict::kNotRun;
  StoredAnswer answer;                          // Set for kRan.
  RefusalReason reason = RefusalReason::kNone;  // Set for kNotRun.
  bool operator==(const ForwardedAnswer&) const = default;
};

// State of a member in the sender's membership.
enum class PeerMemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

template <>
struct EnumNames<PeerMemberState> {
  static constexpr auto kTable = std::to_array<EnumName<PeerMemberState>>({
      {PeerMemberState::kAlive, "alive"},
      {PeerMemberState::kSuspect, "suspect"},
      {PeerMemberState::kDead, "dead"},
      {PeerMemberState::kLeft, "left"},
  });
};

// Kind of a membership message.
enum class PeerExchangeKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kPush,
  kPull,
};

template <>
struct EnumNames<PeerExchangeKind> {
  static constexpr auto kTable = std::to_array<EnumName<PeerExchangeKind>>({
      {PeerExchangeKind::kPing, "ping"},
      {PeerExchangeKind::kAck, "ack"},
      {PeerExchangeKind::kPingRequest, "ping-request"},
      {PeerExchangeKind::kPush, "push"},
      {PeerExchangeKind::kPull, "pull"},
  });
};

// The sender's last known state of one member.
struct PeerMember {
  EntryVm entry;
  Incarnation incarnation;
  // Grows when the member contradicts a report about itself.
  std::uint32_t sequence = 0;
  PeerMemberState state = PeerMemberState::kAlive;
  bool operator==(const PeerMember&) const = default;
};

// One item of versioned state. `value` is empty if the sender announces only
// the version.
struct PeerItem {
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  bool operator==(const PeerItem&) const = default;
};

// A membership message with the state of members and the versions of items.
struct PeerExchange {
  PeerExchangeKind kind = PeerExchangeKind::kPing;
  std::uint64_t sequence = 0;
  std::string target;  // Member that the receiver of a kPingRequest probes.
  std::vector<PeerMember> members;
  std::vector<PeerItem> items;
  std::uint64_t digest = 0;  // Of all item versions that the sender stores.
  // Incarnation of the sender in its membership; this value can be higher than
  // the incarnation in the header.
  std::uint64_t sender_incarnation = 0;
  bool operator==(const PeerExchange&) const = default;
};

// What the caller knows about a call that has ended.
enum class CallOutcome : std::uint8_t {
  kAnswered,
  kNotSent,              // The peer did not handle the call and will not.
  kMayHaveBeenReceived,  // The peer may have handled the call.
};

template <>
struct EnumNames<CallOutcome> {
  static constexpr auto kTable = std::to_array<EnumName<CallOutcome>>({
      {CallOutcome::kAnswered, "answered"},
      {CallOutcome::kNotSent, "not-sent"},
      {CallOutcome::kMayHaveBeenReceived, "may-have-been-received"},
  });
};

// Why a call was not answered.
enum class CallFault : std::uint8_t {
  kNone,
  kAddressInvalid,
  kConnectFailed,         // No connection could be opened.
  kBackingOff,            // The address is in back-off after a failure.
  kQueueFull,             // Too many bytes or calls wait for this peer.
  kTooLarge,              // The message exceeds kMaxPeerMessageBytes.
  kDeadline,              // No answer, or no connection, before the deadline.
  kConnectionLost,        // The connection ended after the call was sent.
  kInvalidAnswer,         // The answer was malformed.
  kOtherProtocolVersion,  // The peer uses another protocol version.
  kPeerStopping,          // The peer stops and refuses new work.
  kPeerFailed,            // The peer's handler failed.
};

template <>
struct EnumNames<CallFault> {
  static constexpr auto kTable = std::to_array<EnumName<CallFault>>({
      {CallFault::kNone, "none"},
      {CallFault::kAddressInvalid, "address-invalid"},
      {CallFault::kConnectFailed, "connect-failed"},
      {CallFault::kBackingOff, "backing-off"},
      {CallFault::kQueueFull, "queue-full"},
      {CallFault::kTooLarge, "too-large"},
      {CallFault::kDeadline, "deadline"},
      {CallFault::kConnectionLost, "connection-lost"},
      {CallFault::kInvalidAnswer, "invalid-answer"},
      {CallFault::kOtherProtocolVersion, "other-protocol-version"},
      {CallFault::kPeerStopping, "peer-stopping"},
      {CallFault::kPeerFailed, "peer-failed"},
  });
};

// Result of a call. `peer` and `value` are set for kAnswered.
template <typename Value>
struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  CallFault fault = CallFault::kNone;
  PeerInfo peer;
  Value value{};
};

// Value of a call whose answer consists of the header only.
struct CallAcknowledged {};

// Maximum size of a message. The client refuses to send a larger message, and a
// receiver of a larger message closes the connection. The largest messages are
// a body of 256 KiB, an exchange with 1,600 members (about 300 KiB) and a
// configuration body.
constexpr std::size_t kMaxPeerMessageBytes = std::size_t{4} * 1024 * 1024;

// Counters since the start of the client or the server. Faults are also logged.
struct PeerCounters {
  std::uint64_t connections_opened = 0;
  // Connections beyond PeerSettings::max_connections, and failures of accept().
  std::uint64_t connections_refused = 0;
  std::uint64_t connections_lost = 0;
  std::uint64_t connects_failed = 0;
  std::uint64_t calls = 0;
  std::uint64_t calls_cancelled = 0;
  std::uint64_t other_protocol_version = 0;
  std::uint64_t malformed_messages = 0;
  std::uint64_t truncated_messages = 0;
  std::uint64_t handler_failures = 0;
  // Server: approximate size of the answers with rows and with bodies of items.
  std::uint64_t rows_bytes = 0;
  std::uint64_t item_bytes = 0;
  // Server: large answers that were refused because of a full connection.
  std::uint64_t answers_withheld = 0;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_PEER_MESSAGES_H_
