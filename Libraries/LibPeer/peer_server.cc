// Accepts connections of other entry VMs and stores their calls until they are
// answered.

#include "cicadadrum/peer/peer_server.h"

#include <event2/util.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <spdlog/logger.h>

#include <utility>

#include "cicadadrum/base/error.h"
#include "server_impl.h"

#include "cicadadrum/telemetry/log.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;

constexpr int kListenBacklog = 128;

// Answers above this size are withheld while more than kMaxUnsentBytes wait on
// their connection. A peer with a slow link receives so many within its timeout
// of about a second.
constexpr std::size_t kLargeAnswerBytes = 4096;
constexpr std::size_t kMaxUnsentBytes = 65'536;

// After a failure of accept(), for example without a free file descriptor, the
// listener is disabled for this time. Otherwise the listener would become ready
// immediately and the loop would spin.
constexpr timeval kAcceptRetryDelay{1, 0};

// Removes the port from an address with port 0. evutil_parse_sockaddr_port()
// rejects port 0, and sets port 0 for an address without a port.
std::string WithoutPortZero(std::string_view address) {
  constexpr std::string_view kPortZero = ":0";
  if (address.ends_with(kPortZero))
    address.remove_suffix(kPortZero.size());
  return std::string(address);
}

std::uint16_t BoundPort(evutil_socket_t socket) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) !=
      0)
    return 0;
  if (address.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
  return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

}  // namespace

PeerServer::Impl::Impl(KjLoop& kj_loop,
                       PeerSettings peer_settings,
                       PeerHandlers peer_handlers)
    : loop(kj_loop),
      settings(std::move(peer_settings)),
      handlers(std::move(peer_handlers)),
      handle(std::make_shared<ServerHandle>()),
      accept_retry_timer_(
          event_new(loop.base(), -1, 0, &OnAcceptRetryTimer, this)),
      tasks_(*this) {
  handle->server = this;
}

PeerServer::Impl::~Impl() {
  handle->server = nullptr;
}

leaf::result<void> PeerServer::Impl::Bind(const std::string& address) {
  sockaddr_storage parsed{};
  int length = sizeof(parsed);
  auto* socket_address = reinterpret_cast<sockaddr*>(&parsed);
  if (evutil_parse_sockaddr_port(WithoutPortZero(address).c_str(),
                                 socket_address, &length) != 0)
    return leaf::new_error(
        Error{ErrorCode::kAddressInvalid, "'" + address + "' is not IP:port"});
  listener_.reset(evconnlistener_new_bind(
      loop.base(), &OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kListenBacklog, socket_address, length));
  if (listener_ == nullptr)
    return leaf::new_error(
        Error{ErrorCode::kBindFailed,
              "can't listen on " + address + ": " +
                  evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())});
  evconnlistener_set_error_cb(listener_.get(), &OnAcceptError);
  port = BoundPort(evconnlistener_get_fd(listener_.get()));
  return {};
}

void PeerServer::Impl::OnAccept(evconnlistener*,
                                evutil_socket_t socket,
                                sockaddr* address,
                                int,
                                void* context) {
  Impl& self = *static_cast<Impl*>(context);
  const auto thrown =
      kj::runCatchingExceptions([&] { self.Accept(socket, address); });
  KJ_IF_MAYBE (exception, thrown) {
    ReportFault(self.faults, PeerFault::kAcceptFailed, "listener",
                exception->getDescription().cStr(), self.settings.now());
  }
}

void PeerServer::Impl::OnAcceptError(evconnlistener* listener, void* context) {
  Impl& self = *static_cast<Impl*>(context);
  ReportFault(self.faults, PeerFault::kAcceptFailed, "listener",
              evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()),
              self.settings.now());
  evconnlistener_disable(listener);
  event_add(self.accept_retry_timer_.get(), &kAcceptRetryDelay);
}

void PeerServer::Impl::OnAcceptRetryTimer(evutil_socket_t,
                                          short,
                                          void* context) {
  evconnlistener_enable(static_cast<Impl*>(context)->listener_.get());
}

void PeerServer::Impl::Accept(evutil_socket_t socket, const sockaddr* address) {
  const std::string remote = FormatAddress(address);
  if (connections.size() >= settings.max_connections) {
    evutil_closesocket(socket);
    ReportFault(faults, PeerFault::kTooManyConnections, remote,
                "limit " + std::to_string(settings.max_connections),
                settings.now());
    return;
  }
  OpenConnection(socket, remote);
}

void PeerServer::Impl::OpenConnection(evutil_socket_t socket,
                                      const std::string& remote) {
  const std::uint64_t id = next_connection_++;
  auto on_fault = [this, remote](PeerFault fault, std::string_view detail) {
    ReportFault(faults, fault, remote, detail, settings.now());
  };
  auto rpc = std::make_unique<PeerConnection>(
      BuffereventStream::Adopt(loop.base(), socket),
      capnp::rpc::twoparty::Side::SERVER, MakeEntryPeer(handle, id),
      std::move(on_fault));
  tasks_.add(rpc->OnDisconnect().then([this, id] { ScheduleClose(id); }));
  connections.emplace(id, ServerConnection{remote, std::move(rpc)});
  ++faults.counters.connections_opened;
}

void PeerServer::Impl::ScheduleClose(std::uint64_t connection) {
  tasks_.add(
      kj::evalLater([this, connection] { connections.erase(connection); }));
}

void PeerServer::Impl::CloseMalformed(std::uint64_t connection,
                                      std::string_view detail) {
  const auto found = connections.find(connection);
  if (found == connections.end())
    return;
  found->second.rpc->messages().Report(PeerFault::kMalformedMessage, detail);
  ScheduleClose(connection);
}

HeaderCheck PeerServer::Impl::CheckHeader(
    std::uint64_t connection,
    const std::optional<ReceivedHeader>& header,
    bool new_work,
    schema::CallRefusal& refusal) {
  if (!header)
    return HeaderCheck::kMalformed;
  ++faults.counters.calls;
  if (header->protocol_version != settings.protocol_version) {
    const auto found = connections.find(connection);
    ReportFault(faults, PeerFault::kOtherProtocolVersion,
                found == connections.end() ? "unknown" : found->second.remote,
                "version " + std::to_string(header->protocol_version),
                settings.now());
    refusal = schema::CallRefusal::OTHER_PROTOCOL_VERSION;
    return HeaderCheck::kRefused;
  }
  if (refuses_new_work && new_work) {
    refusal = schema::CallRefusal::STOPPING;
    return HeaderCheck::kRefused;
  }
  return HeaderCheck::kAccepted;
}

bool PeerServer::Impl::IsBackedUp(std::uint64_t connection, std::size_t bytes) {
  const auto found = connections.find(connection);
  if (bytes <= kLargeAnswerBytes || found == connections.end() ||
      found->second.rpc->QueuedBytes() <= kMaxUnsentBytes)
    return false;
  ++faults.counters.answers_withheld;
  return true;
}

kj::Promise<kj::Own<SlotAnswer>> PeerServer::Impl::StartSlotRequest(
    const PeerInfo& peer,
    const ReceivedSlotRequest& request) {
  const SlotRequestKey key{request.pool, peer.name, request.slot_request.id};
  // An open request with the same key means that the sender repeats the request
  // over a new connection before this server detects the loss of the old one.
  CancelSlot(key);
  const std::uint64_t call = open_calls.next_call++;
  auto paf = kj::newPromiseAndFulfiller<kj::Own<SlotAnswer>>();
  open_calls.slot_requests.emplace(
      key, OpenSlotRequest{call, kj::mv(paf.fulfiller)});
  SlotRequest slot_request = request.slot_request;
  slot_request.entry = peer.name;
  const bool handled = RunHandler(
      [&] { handlers.request_slot(peer, request.pool, slot_request); });
  if (!handled) {
    open_calls.slot_requests.erase(key);
    return KJ_EXCEPTION(FAILED, "the handler failed");
  }
  return paf.promise.attach(kj::defer([handle_copy = handle, key, call] {
    if (handle_copy->server != nullptr)
      handle_copy->server->CancelSlotCall(key, call);
  }));
}

void PeerServer::Impl::CancelSlotCall(const SlotRequestKey& key,
                                      std::uint64_t call) {
  const auto found = open_calls.slot_requests.find(key);
  if (found == open_calls.slot_requests.end() || found->second.call != call)
    return;
  open_calls.slot_requests.erase(found);
  ++faults.counters.calls_cancelled;
  RunHandler([&] { handlers.cancel_slot(key.pool, key.entry, key.id); });
}

void PeerServer::Impl::CancelSlot(const SlotRequestKey& key) {
  const auto found = open_calls.slot_requests.find(key);
  if (found == open_calls.slot_requests.end())
    return;
  found->second.fulfiller->fulfill(kj::heap<SlotAnswer>(
      SlotRefusal{key.entry, key.id, RefusalReason::kCallerDisconnected, {}}));
  CancelSlotCall(key, found->second.call);
}

kj::Promise<kj::Own<ForwardedAnswer>> PeerServer::Impl::StartExecute(
    const PeerInfo& peer,
    const ForwardedRequest& request) {
  const std::uint64_t call = open_calls.next_call++;
  auto paf = kj::newPromiseAndFulfiller<kj::Own<ForwardedAnswer>>();
  open_calls.execute_calls.emplace(call, OpenExecute{kj::mv(paf.fulfiller)});
  const bool handled =
      RunHandler([&] { handlers.execute(call, peer, request); });
  if (!handled) {
    open_calls.execute_calls.erase(call);
    return KJ_EXCEPTION(FAILED, "the handler failed");
  }
  return paf.promise.attach(kj::defer([handle_copy = handle, call] {
    if (handle_copy->server != nullptr)
      handle_copy->server->CancelExecuteCall(call);
  }));
}

void PeerServer::Impl::CancelExecuteCall(std::uint64_t call) {
  if (open_calls.execute_calls.erase(call) == 0)
    return;
  ++faults.counters.calls_cancelled;
  RunHandler([&] { handlers.cancel_execute(call); });
}

kj::Promise<kj::Own<discovery::RelayResponse>>
PeerServer::Impl::StartFollowRows(
    const PeerInfo& peer,
    const discovery::RelayRequest& relay_request) {
  const std::uint64_t call = open_calls.next_call++;
  auto paf = kj::newPromiseAndFulfiller<kj::Own<discovery::RelayResponse>>();
  open_calls.follow_rows_calls.emplace(call,
                                       OpenFollowRows{kj::mv(paf.fulfiller)});
  if (!RunHandler([&] { handlers.follow_rows(call, peer, relay_request); })) {
    open_calls.follow_rows_calls.erase(call);
    return KJ_EXCEPTION(FAILED, "the handler failed");
  }
  return paf.promise.attach(kj::defer([handle_copy = handle, call] {
    if (handle_copy->server != nullptr)
      handle_copy->server->CancelFollowRowsCall(call);
  }));
}

void PeerServer::Impl::CancelFollowRowsCall(std::uint64_t call) {
  if (open_calls.follow_rows_calls.erase(call) == 0)
    return;
  ++faults.counters.calls_cancelled;
  RunHandler([&] { handlers.cancel_follow_rows(call); });
}

void PeerServer::Impl::ReportHandlerFailure(std::string_view detail) {
  ReportFault(faults, PeerFault::kHandlerFailed, "handler", detail,
              settings.now());
}

void PeerServer::Impl::taskFailed(kj::Exception&& exception) {
  LoggerFor("peer")->error("exception in a task of the server: {}",
                           exception.getDescription().cStr());
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PeerServer::~PeerServer() = default;

leaf::result<std::unique_ptr<PeerServer>> PeerServer::Listen(
    KjLoop& loop,
    const std::string& address,
    PeerSettings settings,
    PeerHandlers handlers) {
  auto impl =
      std::make_unique<Impl>(loop, std::move(settings), std::move(handlers));
  BOOST_LEAF_CHECK(impl->Bind(address));
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

std::uint16_t PeerServer::port() const {
  return impl_->port;
}

bool PeerServer::RespondToSlotRequest(const PoolKey& pool,
                                      const SlotAnswer& answer) {
  const SlotRequestKey key = std::visit(
      [&](const auto& value) {
        return SlotRequestKey{pool, value.entry, value.id};
      },
      answer);
  const auto found = impl_->open_calls.slot_requests.find(key);
  if (found == impl_->open_calls.slot_requests.end())
    return false;
  found->second.fulfiller->fulfill(kj::heap(kj::cp(answer)));
  impl_->open_calls.slot_requests.erase(found);
  return true;
}

bool PeerServer::RespondToExecute(std::uint64_t call,
                                  const ForwardedAnswer& answer) {
  const auto found = impl_->open_calls.execute_calls.find(call);
  if (found == impl_->open_calls.execute_calls.end())
    return false;
  found->second.fulfiller->fulfill(kj::heap(kj::cp(answer)));
  impl_->open_calls.execute_calls.erase(found);
  return true;
}

bool PeerServer::RespondToFollowRows(std::uint64_t call,
                                     const discovery::RelayResponse& answer) {
  const auto found = impl_->open_calls.follow_rows_calls.find(call);
  if (found == impl_->open_calls.follow_rows_calls.end())
    return false;
  found->second.fulfiller->fulfill(kj::heap(kj::cp(answer)));
  impl_->open_calls.follow_rows_calls.erase(found);
  return true;
}

void PeerServer::RefuseNewWork() {
  impl_->refuses_new_work = true;
}

std::size_t PeerServer::connection_count() const {
  return impl_->connections.size();
}

std::size_t PeerServer::open_call_count() const {
  return impl_->open_calls.slot_requests.size() +
         impl_->open_calls.execute_calls.size() +
         impl_->open_calls.follow_rows_calls.size();
}

const PeerCounters& PeerServer::counters() const {
  return impl_->faults.counters;
}

}  // namespace cicadadrum
