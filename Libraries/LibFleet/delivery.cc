// The fake network and store, which turn the actions of a node into deliveries.

#include "delivery.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace cicadadrum {

namespace {

constexpr Duration kLocalDelay = Microseconds(200);  // Inside a failure domain.
constexpr Duration kStoreServiceTime = Milliseconds(2);
constexpr Duration kStoreTimeout = Seconds(1);

// Returns the index of the node with this name, such as "entry-7".
std::size_t NodeNumber(const std::string& name) {
  return std::stoul(name.substr(name.find('-') + 1));
}

bool IsPartitioned(const Fleet& fleet, std::size_t from, std::size_t to) {
  return std::any_of(fleet.partitions.begin(), fleet.partitions.end(),
                     [&](const NetworkPartition& partition) {
                       return partition.from[from] && partition.to[to];
                     });
}

Duration NetworkDelay(Fleet& fleet, std::size_t from, std::size_t to) {
  const FleetNode& a = fleet.nodes[from];
  const FleetNode& b = fleet.nodes[to];
  Duration delay = fleet.options.region_delay;
  if (a.failure_domain == b.failure_domain)
    delay = kLocalDelay;
  else if (a.region == b.region)
    delay = fleet.options.domain_delay;
  // A random addition of up to a tenth lets messages overtake each other.
  return delay +
         Microseconds(static_cast<std::int64_t>(RandomBelow(
             fleet.random, static_cast<std::uint64_t>(delay.count()) / 10)));
}

// Returns the delay of a message, or nothing if the message is lost.
std::optional<Duration> Transmit(Fleet& fleet,
                                 std::size_t from,
                                 std::size_t to) {
  if (IsPartitioned(fleet, from, to) ||
      (fleet.options.loss > 0 && RandomUnit(fleet.random) < fleet.options.loss))
    return std::nullopt;
  return NetworkDelay(fleet, from, to);
}

// Counts the bytes of a membership message and of its RPC response.
void CountExchange(Fleet& fleet,
                   std::size_t from,
                   std::size_t to,
                   const ExchangeMessage& message) {
  if (!fleet.options.count_bytes)
    return;
  const auto start = fleet.options.measure_time
                         ? std::chrono::steady_clock::now()
                         : std::chrono::steady_clock::time_point{};
  const std::uint64_t bytes = EncodedBytes(message) + kCallOverheadBytes;
  if (fleet.options.measure_time)
    fleet.counters.encode_nanoseconds +=
        std::chrono::nanoseconds(std::chrono::steady_clock::now() - start)
            .count();
  const auto kind = static_cast<std::size_t>(TrafficKindOf(message.kind));
  TrafficCount& sender = fleet.nodes[from].traffic[kind];
  ++sender.messages_out;
  sender.bytes_out += bytes;
  if (!fleet.nodes[to].up)
    return;
  TrafficCount& receiver = fleet.nodes[to].traffic[kind];
  receiver.bytes_in += bytes;
  receiver.bytes_out += kReturnOverheadBytes;
  sender.bytes_in += kReturnOverheadBytes;
}

// Counts the bytes of a fetch from a peer, at both nodes.
void CountFetch(Fleet& fleet,
                std::size_t from,
                std::size_t to,
                std::uint64_t request_bytes,
                std::uint64_t response_bytes) {
  constexpr auto kKind = static_cast<std::size_t>(TrafficKind::kFetch);
  TrafficCount& requester = fleet.nodes[from].traffic[kKind];
  TrafficCount& responder = fleet.nodes[to].traffic[kKind];
  ++requester.messages_out;
  requester.bytes_out += request_bytes;
  requester.bytes_in += response_bytes;
  responder.bytes_in += request_bytes;
  responder.bytes_out += response_bytes;
}

// Schedules an event for a run of a node; run 0 stands for any run.
void DeliverLater(Fleet& fleet,
                  std::size_t node,
                  std::uint64_t run,
                  Duration delay,
                  MembershipEvent event) {
  auto delivery = std::make_unique<FleetDelivery>();
  delivery->event = std::move(event);
  Schedule(fleet, {.at = fleet.now + delay,
                   .node = node,
                   .run = run,
                   .delivery = std::move(delivery)});
}

void PerformSend(Fleet& fleet, std::size_t from, const SendMessage& send) {
  const std::size_t to = NodeNumber(send.to);
  CountExchange(fleet, from, to, send.message);
  int copies = 1;
  if (fleet.options.duplication > 0 &&
      RandomUnit(fleet.random) < fleet.options.duplication)
    copies = 2;
  for (int copy = 0; copy < copies; ++copy) {
    if (const std::optional<Duration> delay = Transmit(fleet, from, to))
      DeliverLater(fleet, to, 0, *delay, MessageReceived{send.message});
  }
}

void CountStoreCall(Fleet& fleet, std::size_t node, std::uint64_t content) {
  TrafficCount& count =
      fleet.nodes[node].traffic[static_cast<std::size_t>(TrafficKind::kStore)];
  ++count.messages_out;
  count.bytes_out += kHttpRequestBytes;
  count.bytes_in += kHttpResponseBytes + content;
}

// Returns the duration of a call to the store, or nothing if the store does not
// respond.
std::optional<Duration> StoreDelay(Fleet& fleet, std::size_t node) {
  if (!fleet.store.up || IsPartitioned(fleet, node, 0) ||
      IsPartitioned(fleet, 0, node))
    return std::nullopt;
  return NetworkDelay(fleet, node, 0) + NetworkDelay(fleet, 0, node) +
         kStoreServiceTime;
}

void PerformRead(Fleet& fleet, std::size_t node, const ReadVersionRow& read) {
  FleetStore& store = fleet.store;
  const std::uint64_t run = fleet.nodes[node].run;
  ++store.row_reads;
  const std::optional<Duration> delay = StoreDelay(fleet, node);
  if (!delay) {
    DeliverLater(fleet, node, run, kStoreTimeout, StoreReadFailed{});
    return;
  }
  StoreRowRead response{.include_marks = read.include_marks};
  if (!store.configurations.empty())
    response.items.push_back(store.serves_stale_reads
                                 ? store.configurations.front()
                                 : store.configurations.back());
  if (read.include_marks) {
    for (const auto& [key, mark] : store.marks)
      response.items.push_back(mark);
  }
  CountStoreCall(fleet, node, 60 * response.items.size());
  DeliverLater(fleet, node, run, *delay, std::move(response));
}

void FetchFromStore(Fleet& fleet, std::size_t node, const FetchItem& fetch) {
  ++fleet.store.body_reads;
  const std::uint64_t run = fleet.nodes[node].run;
  ItemFetched response{.key = fetch.key, .version = fetch.version};
  const std::optional<Duration> delay = StoreDelay(fleet, node);
  const auto body = fleet.store.bodies.find(fetch.hash);
  if (delay && body != fleet.store.bodies.end()) {
    response.found = true;
    response.body = body->second;
  }
  CountStoreCall(fleet, node, response.body.size());
  DeliverLater(fleet, node, run, delay.value_or(kStoreTimeout),
               std::move(response));
}

void FetchFromPeer(Fleet& fleet, std::size_t node, const FetchItem& fetch) {
  const std::size_t peer = NodeNumber(fetch.peer);
  const std::optional<Duration> delay = Transmit(fleet, node, peer);
  if (!delay)
    return;
  auto delivery = std::make_unique<FleetDelivery>();
  delivery->is_fetch = true;
  delivery->fetch = {.origin = node,
                     .origin_run = fleet.nodes[node].run,
                     .key = fetch.key,
                     .version = fetch.version};
  Schedule(fleet, {.at = fleet.now + *delay,
                   .node = peer,
                   .delivery = std::move(delivery)});
}

void PerformWrite(Fleet& fleet, std::size_t node, const WriteMark& write) {
  const std::optional<Duration> delay = StoreDelay(fleet, node);
  MarkWritten response{.item = write.item, .recorded = delay.has_value()};
  if (delay) {
    ItemVersion& row = fleet.store.marks[write.item.key];
    if (write.item.version > row.version) {
      row = write.item;
      row.value = NameOf(MarkValue::kLeavingRecorded);
    }
    response.recorded = row.version == write.item.version;
  }
  DeliverLater(fleet, node, fleet.nodes[node].run,
               delay.value_or(kStoreTimeout), std::move(response));
}

// Counts a suspicion or death of a node that runs and can be reached.
void CountFalseAlarm(Fleet& fleet, const MemberChanged& change) {
  const MemberUpdate& record = change.record;
  const FleetNode& subject = fleet.nodes[NodeNumber(record.vm.name)];
  if (!subject.up || subject.paused || !fleet.partitions.empty() ||
      record.incarnation < subject.state.members[0].record.incarnation)
    return;
  const auto key =
      std::make_tuple(record.vm.name, record.incarnation, record.sequence);
  if (record.state == MemberState::kSuspect)
    fleet.counters.false_suspicions.insert(key);
  if (record.state == MemberState::kDead)
    fleet.counters.false_deaths.insert(key);
}

// Records an adopted version and counts a reversion to an older one.
void RecordAdoption(Fleet& fleet,
                    std::size_t node,
                    const ItemAdopted& adopted) {
  std::uint64_t& version = fleet.nodes[node].adopted[adopted.item.key];
  if (adopted.item.version < version)
    ++fleet.counters.reversions;
  version = adopted.item.version;
}

struct ActionHandler {
  Fleet& fleet;
  std::size_t node;

  void operator()(const SendMessage& action) const {
    PerformSend(fleet, node, action);
  }
  void operator()(const MemberChanged& action) const {
    CountFalseAlarm(fleet, action);
  }
  void operator()(const IsolationChanged& /*action*/) const {}
  void operator()(const ItemAdopted& action) const {
    RecordAdoption(fleet, node, action);
  }
  void operator()(const FetchItem& action) const {
    if (action.source == FetchSource::kStore)
      FetchFromStore(fleet, node, action);
    else
      FetchFromPeer(fleet, node, action);
  }
  void operator()(const ReadVersionRow& action) const {
    PerformRead(fleet, node, action);
  }
  void operator()(const WriteMark& action) const {
    PerformWrite(fleet, node, action);
  }
  void operator()(const MembershipWake& action) const {
    ScheduleWake(fleet, node, action.at);
  }
};

}  // namespace

bool IsLater(const ScheduledDelivery& a, const ScheduledDelivery& b) {
  return std::tie(a.at, a.order) > std::tie(b.at, b.order);
}

void Schedule(Fleet& fleet, ScheduledDelivery delivery) {
  delivery.order = fleet.next_order++;
  fleet.queue.push_back(std::move(delivery));
  std::push_heap(fleet.queue.begin(), fleet.queue.end(), IsLater);
}

void ScheduleWake(Fleet& fleet, std::size_t node, TimePoint at) {
  if (at == kNever || fleet.nodes[node].wake_at == at)
    return;
  fleet.nodes[node].wake_at = at;
  Schedule(fleet, {.at = std::max(at, fleet.now),
                   .node = node,
                   .run = fleet.nodes[node].run});
}

void PerformActions(Fleet& fleet,
                    std::size_t node,
                    const MembershipActions& actions) {
  for (const MembershipAction& action : actions)
    std::visit(ActionHandler{fleet, node}, action);
}

void RespondToFetch(Fleet& fleet, std::size_t node, const FetchRequest& fetch) {
  const ActiveItem* active_item = FindItem(fleet.nodes[node].state, fetch.key);
  ItemFetched response{.key = fetch.key, .version = fetch.version};
  if (active_item != nullptr && active_item->version == fetch.version) {
    response.found = true;
    response.body = active_item->body;
  }
  CountFetch(fleet, fetch.origin, node, kCallOverheadBytes + 80,
             kReturnOverheadBytes + 60 + response.body.size());
  if (const std::optional<Duration> delay = Transmit(fleet, node, fetch.origin))
    DeliverLater(fleet, fetch.origin, fetch.origin_run, *delay,
                 std::move(response));
}

}  // namespace cicadadrum
