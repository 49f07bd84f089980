// Calls of PeerClient: bounds, deadlines, cancellation and results.

#include <event2/util.h>
#include <spdlog/logger.h>

#include <algorithm>
#include <exception>
#include <utility>

#include "client_impl.h"

#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

// Time for the pool owner to confirm that a slot request has ended. If the
// owner does not confirm, a slot that the owner granted stays in use until the
// lease expires.
constexpr Duration kCancelConfirmationTimeout = Seconds(5);

}  // namespace

PeerClient::Impl::Impl(KjLoop& kj_loop, PeerSettings peer_settings)
    : loop(kj_loop),
      settings(std::move(peer_settings)),
      random_{settings.seed},
      tasks_(*this) {}

CallId PeerClient::Impl::StartCall(ClientCall call,
                                   TimePoint deadline,
                                   bool urgent) {
  const CallId id = next_call_++;
  ++faults.counters.calls;
  const CallFault fault = CheckStart(call, deadline, urgent);
  call.id = id;
  call.client = this;
  ClientCall& stored = calls.emplace(id, std::move(call)).first->second;
  ClientLink& link = links[stored.address];
  ++link.open_calls;
  if (fault != CallFault::kNone) {
    stored.phase = CallPhase::kRefused;
    tasks_.add(kj::evalLater(
        [this, id, fault] { FailCall(id, CallOutcome::kNotSent, fault); }));
    return id;
  }
  link.waiting_bytes += stored.bytes;
  StartTimer(stored, deadline);
  if (link.phase == LinkPhase::kConnected)
    Send(stored, link);
  else if (link.phase == LinkPhase::kClosed)
    Connect(stored.address, link);
  return id;
}

CallFault PeerClient::Impl::CheckStart(const ClientCall& call,
                                       TimePoint deadline,
                                       bool urgent) {
  sockaddr_storage parsed{};
  int length = sizeof(parsed);
  if (evutil_parse_sockaddr_port(call.address.c_str(),
                                 reinterpret_cast<sockaddr*>(&parsed),
                                 &length) != 0)
    return CallFault::kAddressInvalid;
  if (call.bytes > kMaxPeerMessageBytes)
    return CallFault::kTooLarge;
  const TimePoint now = settings.now();
  if (deadline <= now)
    return CallFault::kDeadline;
  const ClientLink& link = links[call.address];
  if (link.phase == LinkPhase::kClosed && now < link.next_attempt)
    return CallFault::kBackingOff;
  return urgent ? CallFault::kNone : CheckQueue(link, call.bytes);
}

CallFault PeerClient::Impl::CheckQueue(const ClientLink& link,
                                       std::size_t bytes) const {
  std::size_t queued = link.waiting_bytes;
  if (link.connection != nullptr)
    queued += link.connection->QueuedBytes();
  if (queued + bytes > settings.max_queued_bytes)
    return CallFault::kQueueFull;
  if (link.open_calls >= kMaxOpenCalls / 2)
    return CallFault::kQueueFull;
  return CallFault::kNone;
}

void PeerClient::Impl::StartTimer(ClientCall& call, TimePoint deadline) {
  if (deadline == kNever)
    return;
  if (call.timer == nullptr)
    call.timer.reset(event_new(loop.base(), -1, 0, &OnTimer, &call));
  const timeval delay = ToTimeval(deadline - settings.now());
  event_add(call.timer.get(), &delay);
}

// HandleTimerExpired() runs as a task of the KJ loop, where an exception
// rejects the promise and does not propagate into libevent.
void PeerClient::Impl::OnTimer(evutil_socket_t, short, void* context) {
  const ClientCall& call = *static_cast<ClientCall*>(context);
  Impl& self = *call.client;
  self.tasks_.add(
      kj::evalLater([&self, id = call.id] { self.HandleTimerExpired(id); }));
}

void PeerClient::Impl::HandleTimerExpired(CallId id) {
  const auto found = calls.find(id);
  if (found == calls.end())
    return;
  ClientCall& call = found->second;
  switch (call.phase) {
    case CallPhase::kRefused:
      return;
    case CallPhase::kWaiting:
      FailCall(id, CallOutcome::kNotSent, CallFault::kDeadline);
      return;
    case CallPhase::kAbandoned:
      RemoveCall(id);
      return;
    case CallPhase::kSent:
      break;
  }
  if (!call.slot) {
    FailCall(id, CallOutcome::kMayHaveBeenReceived, CallFault::kDeadline);
    return;
  }
  const auto fail = call.fail;
  AbandonSlotRequest(call);
  InvokeCallback(
      [&] { fail(CallOutcome::kMayHaveBeenReceived, CallFault::kDeadline); });
}

bool PeerClient::Impl::Cancel(CallId id) {
  const auto found = calls.find(id);
  if (found == calls.end() || found->second.phase == CallPhase::kAbandoned)
    return false;
  ++faults.counters.calls_cancelled;
  ClientCall& call = found->second;
  if (call.phase == CallPhase::kSent && call.slot)
    AbandonSlotRequest(call);
  else
    RemoveCall(id);
  return true;
}

void PeerClient::Impl::AbandonSlotRequest(ClientCall& call) {
  call.phase = CallPhase::kAbandoned;
  StartTimer(call, settings.now() + kCancelConfirmationTimeout);
  const std::string address = call.address;
  const SlotRequestReference slot = *call.slot;
  SendCancelSlot(address, slot);
}

std::optional<ClientCall> PeerClient::Impl::RemoveCall(CallId id) {
  const auto found = calls.find(id);
  if (found == calls.end())
    return std::nullopt;
  found->second.timer.reset();
  ClientCall call = std::move(found->second);
  calls.erase(found);
  ClientLink& link = links[call.address];
  --link.open_calls;
  if (call.phase == CallPhase::kWaiting)
    link.waiting_bytes -= call.bytes;
  DestroyLater(call.answer);
  return call;
}

void PeerClient::Impl::FailCall(CallId id,
                                CallOutcome outcome,
                                CallFault fault) {
  const auto call = RemoveCall(id);
  if (!call || call->phase == CallPhase::kAbandoned)
    return;
  InvokeCallback([&] { call->fail(outcome, fault); });
}

std::vector<CallId> PeerClient::Impl::CallIdsFor(
    const std::string& address) const {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls) {
    if (call.address == address && call.phase != CallPhase::kRefused)
      ids.push_back(id);
  }
  return ids;
}

void PeerClient::Impl::InvokeCallback(const std::function<void()>& done) {
  try {
    done();
    return;
  } catch (const std::exception& exception) {
    ReportFault(faults, PeerFault::kHandlerFailed, "client", exception.what(),
                settings.now());
  } catch (...) {
    ReportFault(faults, PeerFault::kHandlerFailed, "client",
                "unknown exception", settings.now());
  }
}

void PeerClient::Impl::DestroyLater(kj::Maybe<kj::Promise<void>>& promise) {
  KJ_IF_MAYBE (found, promise) {
    promises_to_destroy_.push_back(kj::mv(*found));
    promise = nullptr;
    ScheduleDestruction();
  }
}

void PeerClient::Impl::ScheduleDestruction() {
  if (std::exchange(destruction_scheduled_, true))
    return;
  tasks_.add(kj::evalLater([this] {
    destruction_scheduled_ = false;
    const auto promises = std::exchange(promises_to_destroy_, {});
    const auto connections = std::exchange(connections_to_destroy_, {});
  }));
}

void PeerClient::Impl::taskFailed(kj::Exception&& exception) {
  LoggerFor("peer")->error("exception in a task of the client: {}",
                           exception.getDescription().cStr());
}

}  // namespace cicadadrum
