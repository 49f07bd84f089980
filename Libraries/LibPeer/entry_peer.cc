// Serves the calls of one connection: decodes the messages, invokes the
// handlers and encodes the answers.

#include <kj/debug.h>

#include <utility>

#include "server_impl.h"

#include <capnp/schema.h>

namespace cicadadrum {

namespace {

// The number comes from the schema, so that a new method is not refused as
// unknown.
const std::size_t kMethodCount =
    capnp::Schema::from<schema::EntryPeer>().getMethods().size();

class EntryPeerServer final : public schema::EntryPeer::Server {
 public:
  EntryPeerServer(std::shared_ptr<ServerHandle> handle,
                  std::uint64_t connection)
      : handle_(std::move(handle)), connection_(connection) {}

  DispatchCallResult dispatchCall(
      std::uint64_t interface_id,
      std::uint16_t method_id,
      capnp::CallContext<capnp::AnyPointer, capnp::AnyPointer> context)
      override {
    if (handle_->server == nullptr)
      return {ServerStoppedError(), false};
    if (interface_id != capnp::typeId<schema::EntryPeer>() ||
        method_id >= kMethodCount)
      return {RejectMalformed("unknown method"), false};
    return schema::EntryPeer::Server::dispatchCall(interface_id, method_id,
                                                   context);
  }

  kj::Promise<void> requestSlot(RequestSlotContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer, true); end != nullptr)
      return ExtractPromise(end);
    const auto request = Decode([&] {
      return ReadSlotRequest(context.getParams().getRequest(),
                             server().settings.now());
    });
    if (!request)
      return RejectMalformed("slot request");
    context.releaseParams();
    context.allowCancellation();
    return server()
        .StartSlotRequest(peer, *request)
        .then([this, context](
                  kj::Own<SlotAnswer>&& answer) mutable -> kj::Promise<void> {
          if (handle_->server == nullptr)
            return ServerStoppedError();
          auto results = context.getResults(SizeHint(kSmallMessageBytes));
          WriteSenderHeader(results.initHeader());
          WriteSlotAnswer(*answer, results.initAnswer());
          return kj::READY_NOW;
        });
  }

  kj::Promise<void> returnSlot(ReturnSlotContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer); end != nullptr)
      return ExtractPromise(end);
    const auto slot_return = Decode(
        [&] { return ReadSlotReturn(context.getParams().getSlotReturn()); });
    if (!slot_return)
      return RejectMalformed("slot return");
    WriteSenderHeader(
        context.getResults(SizeHint(kSmallMessageBytes)).initHeader());
    return InvokeHandler(
        [&] { server().handlers.return_slot(peer, *slot_return); });
  }

  kj::Promise<void> askLeases(AskLeasesContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer); end != nullptr)
      return ExtractPromise(end);
    const auto pool = Decode([&]() -> std::optional<PoolKey> {
      return ReadPool(context.getParams().getPool());
    });
    if (!pool)
      return RejectMalformed("lease request");
    WriteSenderHeader(
        context.getResults(SizeHint(kSmallMessageBytes)).initHeader());
    return InvokeHandler(
        [&] { server().handlers.request_leases(peer, *pool); });
  }

  kj::Promise<void> reportLeases(ReportLeasesContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer); end != nullptr)
      return ExtractPromise(end);
    const auto report = Decode([&] {
      return ReadLeasesReport(context.getParams().getReport(),
                              server().settings.now());
    });
    if (!report)
      return RejectMalformed("lease report");
    WriteSenderHeader(
        context.getResults(SizeHint(kSmallMessageBytes)).initHeader());
    return InvokeHandler(
        [&] { server().handlers.report_leases(peer, *report); });
  }

  kj::Promise<void> execute(ExecuteContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer, true); end != nullptr)
      return ExtractPromise(end);
    const auto request = Decode([&] {
      return ReadForwardedRequest(context.getParams().getRequest(),
                                  server().settings.now());
    });
    if (!request)
      return RejectMalformed("forwarded request");
    context.releaseParams();
    context.allowCancellation();
    return server()
        .StartExecute(peer, *request)
        .then([this, context](kj::Own<ForwardedAnswer>&& answer) mutable
              -> kj::Promise<void> {
          if (handle_->server == nullptr)
            return ServerStoppedError();
          // If the answer exceeds the maximum size of a message, the caller of
          // the request gets the status without the body.
          if (EstimateBytes(*answer) > kMaxPeerMessageBytes) {
            answer->answer.body.clear();
            answer->answer.truncated = true;
          }
          auto results = context.getResults(SizeHint(EstimateBytes(*answer)));
          WriteSenderHeader(results.initHeader());
          WriteForwardedAnswer(*answer, results.initAnswer());
          return kj::READY_NOW;
        });
  }

  kj::Promise<void> exchange(ExchangeContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer); end != nullptr)
      return ExtractPromise(end);
    const auto message =
        Decode([&] { return ReadExchange(context.getParams().getMessage()); });
    if (!message)
      return RejectMalformed("exchange message");
    WriteSenderHeader(
        context.getResults(SizeHint(kSmallMessageBytes)).initHeader());
    return InvokeHandler([&] { server().handlers.exchange(peer, *message); });
  }

  kj::Promise<void> fetchItem(FetchItemContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer); end != nullptr)
      return ExtractPromise(end);
    const auto params = context.getParams();
    const auto key = Decode([&] {
      const auto text = params.getKey();
      return std::optional(std::string(text.begin(), text.size()));
    });
    if (!key || key->empty())
      return RejectMalformed("item key");
    std::optional<PeerItem> item;
    auto done = InvokeHandler([&] {
      item = server().handlers.fetch_item(peer, *key, params.getVersion());
    });
    CompressionCache* const compressed = CacheFor(peer);
    // Each estimate hashes the whole value.
    std::size_t bytes =
        item ? EstimateBytes(*item, compressed) : kSmallMessageBytes;
    if (bytes > kMaxPeerMessageBytes) {
      server().ReportHandlerFailure(
          "an item exceeds the maximum size of a message");
      item.reset();
    } else if (server().IsBackedUp(connection_, bytes)) {
      // The sender fetches the item from another peer.
      item.reset();
    }
    if (item)
      server().faults.counters.item_bytes += bytes;
    else
      bytes = kSmallMessageBytes;
    auto results = context.getResults(SizeHint(bytes));
    WriteSenderHeader(results.initHeader());
    results.setFound(item.has_value());
    if (item)
      WriteItem(*item, compressed, results.initItem());
    return done;
  }

  kj::Promise<void> followRows(FollowRowsContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer); end != nullptr)
      return ExtractPromise(end);
    const auto relay_request =
        Decode([&] { return ReadRelayRequest(context.getParams().getAsk()); });
    if (!relay_request)
      return RejectMalformed("rows request");
    context.releaseParams();
    context.allowCancellation();
    return server()
        .StartFollowRows(peer, *relay_request)
        .then([this, context,
               peer](kj::Own<discovery::RelayResponse>&& answer) mutable
              -> kj::Promise<void> {
          if (handle_->server == nullptr)
            return ServerStoppedError();
          // The sender of a refused request reads the rows from the store
          // instead.
          CompressionCache* const compressed = CacheFor(peer);
          std::size_t bytes = EstimateBytes(*answer, compressed);
          if (bytes > kMaxPeerMessageBytes ||
              server().IsBackedUp(connection_, bytes)) {
            *answer = {.failure = discovery::TableFailure::kRefused};
            bytes = kSmallMessageBytes;
          }
          server().faults.counters.rows_bytes += bytes;
          auto results = context.getResults(SizeHint(bytes));
          WriteSenderHeader(results.initHeader());
          WriteRelayResponse(*answer, compressed, results.initAnswer());
          return kj::READY_NOW;
        });
  }

  kj::Promise<void> cancelSlot(CancelSlotContext context) override {
    PeerInfo peer;
    if (auto end = CheckHeader(context, peer); end != nullptr)
      return ExtractPromise(end);
    const auto slot =
        Decode([&] { return ReadSlotCancel(context.getParams().getCancel()); });
    if (!slot)
      return RejectMalformed("slot cancellation");
    WriteSenderHeader(
        context.getResults(SizeHint(kSmallMessageBytes)).initHeader());
    server().CancelSlot({slot->pool, peer.name, slot->id});
    return kj::READY_NOW;
  }

 private:
  // dispatchCall() checks that the pointer is not null during a call.
  PeerServer::Impl& server() const { return *handle_->server; }

  static kj::Promise<void> ServerStoppedError() {
    return KJ_EXCEPTION(DISCONNECTED, "the server has stopped");
  }

  static kj::Promise<void> ExtractPromise(kj::Maybe<kj::Promise<void>>& end) {
    return kj::mv(KJ_ASSERT_NONNULL(end));
  }

  // Sets `peer` and returns nothing if the call is accepted. Otherwise returns
  // the promise with which the call ends.
  template <typename Context>
  kj::Maybe<kj::Promise<void>> CheckHeader(Context& context,
                                           PeerInfo& peer,
                                           bool new_work = false) {
    auto header = Decode([&] {
      return ReadHeader(context.getParams().getHeader(),
                        server().settings.protocol_version);
    });
    schema::CallRefusal refusal = schema::CallRefusal::NONE;
    switch (server().CheckHeader(connection_, header, new_work, refusal)) {
      case HeaderCheck::kAccepted:
        peer = std::move(header->sender);
        return nullptr;
      case HeaderCheck::kRefused:
        WriteHeader(
            server().settings, refusal,
            context.getResults(SizeHint(kSmallMessageBytes)).initHeader());
        return kj::Promise<void>(kj::READY_NOW);
      case HeaderCheck::kMalformed:
        break;
    }
    return RejectMalformed("header");
  }

  // Returns null if the peer can't read compressed values.
  CompressionCache* CacheFor(const PeerInfo& peer) const {
    return peer.reads_compressed ? &server().compressed : nullptr;
  }

  void WriteSenderHeader(schema::PeerHeader::Builder to) {
    WriteHeader(server().settings, schema::CallRefusal::NONE, to);
  }

  // Counts a malformed message, closes the connection and fails the call.
  kj::Promise<void> RejectMalformed(std::string_view what) {
    server().CloseMalformed(connection_, what);
    return KJ_EXCEPTION(FAILED, "malformed message");
  }

  template <typename Handler>
  kj::Promise<void> InvokeHandler(Handler&& handler) {
    if (server().RunHandler(handler))
      return kj::READY_NOW;
    return KJ_EXCEPTION(FAILED, "the handler failed");
  }

  std::shared_ptr<ServerHandle> handle_;
  std::uint64_t connection_;
};

}  // namespace

capnp::Capability::Client MakeEntryPeer(
    const std::shared_ptr<ServerHandle>& handle,
    std::uint64_t connection) {
  return kj::heap<EntryPeerServer>(handle, connection);
}

}  // namespace cicadadrum
