// HTTP server of the platform's test double, on evhttp.

#include "cicadadrum/fake_platform/fake_platform.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <netinet/in.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <optional>

#include "cicadadrum/base/error.h"
#include "cicadadrum/store/store_json.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

constexpr std::string_view kObjectsPath = "/objects/";

struct Reply {
  int status = kOk;
  std::string body;
};

struct PlatformRequest {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string path;
  std::string argument;  // Decoded value of the first query argument.
  std::string body;
};

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};

// evutil_parse_sockaddr_port() rejects port 0, so this function parses the IPv4
// address and the port separately.
std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  Endpoint endpoint{.host = text.substr(0, colon)};
  in_addr parsed{};
  if (evutil_inet_pton(AF_INET, endpoint.host.c_str(), &parsed) != 1)
    return std::nullopt;
  const char* end = text.data() + text.size();
  const auto number =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (number.ec != std::errc() || number.ptr != end)
    return std::nullopt;
  return endpoint;
}

TimePoint Now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

std::string DecodeUri(const std::string& text) {
  std::size_t size = 0;
  char* decoded = evhttp_uridecode(text.c_str(), 0, &size);
  std::string result(decoded, size);
  std::free(decoded);
  return result;
}

std::string FirstArgument(const evhttp_uri* uri) {
  const char* query = evhttp_uri_get_query(uri);
  evkeyvalq arguments{};
  if (query == nullptr || evhttp_parse_query_str(query, &arguments) != 0)
    return "";
  const evkeyval* first = arguments.tqh_first;
  std::string value = first == nullptr ? "" : first->value;
  evhttp_clear_headers(&arguments);
  return value;
}

PlatformRequest ReadRequest(evhttp_request* request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  evbuffer* input = evhttp_request_get_input_buffer(request);
  PlatformRequest platform_request{
      .method = evhttp_request_get_command(request),
      .path = evhttp_uri_get_path(uri),
      .argument = FirstArgument(uri)};
  platform_request.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, platform_request.body.data(),
                  platform_request.body.size());
  return platform_request;
}

std::string FormatCallerAddress(evhttp_request* request) {
  char* host = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(request), &host,
                             &port);
  return std::string(host) + ":" + std::to_string(port);
}

Reply Transact(PlatformState& state, const std::string& body) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Reply> {
        BOOST_LEAF_AUTO(transaction, DecodeTransaction(body));
        return Reply{
            kOk, EncodeTransactionAnswer(ApplyTransaction(state, transaction))};
      },
      [](const Error& error) {
        return Reply{kBadRequest, error.detail};
      },
      [] {
        return Reply{kBadRequest, "unknown error"};
      });
}

Reply ServeObject(PlatformState& state,
                  const PlatformRequest& platform_request) {
  const std::string name =
      DecodeUri(platform_request.path.substr(kObjectsPath.size()));
  if (platform_request.method == EVHTTP_REQ_PUT) {
    ++state.writes;
    state.objects[name] = platform_request.body;
    return {};
  }
  ++state.reads;
  const auto found = state.objects.find(name);
  if (found == state.objects.end())
    return {kNotFound, "no such object"};
  return {kOk, found->second};
}

Reply Serve(PlatformState& state, const PlatformRequest& platform_request) {
  if (platform_request.path.starts_with(kObjectsPath))
    return ServeObject(state, platform_request);
  if (platform_request.path == "/table/transact" &&
      platform_request.method == EVHTTP_REQ_POST)
    return Transact(state, platform_request.body);
  ++state.reads;
  if (platform_request.path == "/table/row")
    return {kOk, EncodeRow(ReadRow(state, platform_request.argument))};
  if (platform_request.path == "/table/scan")
    return {kOk, EncodeRows(ScanRows(state, platform_request.argument))};
  if (platform_request.path == "/vms")
    return {kOk, EncodeVms(ListVms(state, Now()))};
  return {kNotFound, "no such resource"};
}

Reply ServeControl(PlatformState& state, const std::string& body) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Reply> {
        BOOST_LEAF_AUTO(control, ParsePlatformControl(body));
        ApplyControl(state, control, Now());
        return Reply{};
      },
      [](const Error& error) {
        return Reply{kBadRequest, error.detail};
      },
      [] {
        return Reply{kBadRequest, "unknown error"};
      });
}

void SendReply(evhttp_request* request, const Reply& reply) {
  evbuffer* output = evhttp_request_get_output_buffer(request);
  evbuffer_add(output, reply.body.data(), reply.body.size());
  evhttp_send_reply(request, reply.status, nullptr, nullptr);
}

// Closes the connection before the response is complete: the announced body of
// one byte is never sent.
void SendIncomplete(evhttp_request* request) {
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Length", "1");
  evhttp_add_header(headers, "Connection", "close");
  evhttp_send_reply(request, kOk, nullptr, nullptr);
}

}  // namespace

class FakePlatform::Impl {
 public:
  explicit Impl(event_base* base) : base_(base), server_(evhttp_new(base)) {}
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  leaf::result<void> Listen(const PlatformSettings& settings);

  PlatformState state;
  std::string address;

 private:
  // A delayed reply. The reply is discarded when the connection closes, because
  // evhttp frees the request then.
  struct Delayed {
    Impl* owner = nullptr;
    evhttp_request* request = nullptr;
    Reply reply;
    event* timer = nullptr;
  };

  void Handle(evhttp_request* request);
  void SendDelayed(evhttp_request* request, const Reply& reply);
  void CancelDelayed(evhttp_connection* connection);

  event_base* base_;
  evhttp* server_;
  std::map<evhttp_connection*, Delayed> delayed_;
};

FakePlatform::Impl::~Impl() {
  while (!delayed_.empty())
    CancelDelayed(delayed_.begin()->first);
  evhttp_free(server_);
}

leaf::result<void> FakePlatform::Impl::Listen(
    const PlatformSettings& settings) {
  state.vm_list_lag = settings.vm_list_lag;
  state.vms = settings.vms;
  BOOST_LEAF_CHECK(CheckPlatformSettings(settings));
  const auto endpoint = ParseEndpoint(settings.listen);
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(
      server_, endpoint->host.c_str(), endpoint->port);
  if (bound == nullptr)
    return leaf::new_error(
        Error{ErrorCode::kBindFailed, "cannot listen on " + settings.listen});
  sockaddr_in bound_address{};
  socklen_t length = sizeof(bound_address);
  getsockname(evhttp_bound_socket_get_fd(bound),
              reinterpret_cast<sockaddr*>(&bound_address), &length);
  address =
      endpoint->host + ":" + std::to_string(ntohs(bound_address.sin_port));
  evhttp_set_max_body_size(server_,
                           static_cast<ev_ssize_t>(settings.max_body_bytes));
  evhttp_set_gencb(
      server_,
      [](evhttp_request* request, void* argument) {
        static_cast<Impl*>(argument)->Handle(request);
      },
      this);
  return {};
}

void FakePlatform::Impl::Handle(evhttp_request* request) {
  const PlatformRequest platform_request = ReadRequest(request);
  if (platform_request.path == "/control")
    return SendReply(request, ServeControl(state, platform_request.body));
  if (platform_request.path == "/metrics")
    return SendReply(request, {kOk, FormatMetrics(state)});
  state.caller_addresses.insert(FormatCallerAddress(request));
  const PlatformMode mode = ConsumeMode(state);
  if (mode == PlatformMode::kDown)
    return SendReply(request, {kUnavailable, "down"});
  if (mode == PlatformMode::kDropRequest)
    return SendIncomplete(request);
  const Reply reply = Serve(state, platform_request);
  if (mode == PlatformMode::kDropResponse)
    return SendIncomplete(request);
  if (mode == PlatformMode::kSlow)
    return SendDelayed(request, reply);
  SendReply(request, reply);
}

void FakePlatform::Impl::SendDelayed(evhttp_request* request,
                                     const Reply& reply) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  Delayed& delayed = delayed_[connection];
  delayed.owner = this;
  delayed.request = request;
  delayed.reply = reply;
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* argument) {
        static_cast<Impl*>(argument)->CancelDelayed(closed);
      },
      this);
  delayed.timer = evtimer_new(
      base_,
      [](evutil_socket_t, short, void* argument) {
        const Delayed due = *static_cast<Delayed*>(argument);
        due.owner->CancelDelayed(evhttp_request_get_connection(due.request));
        SendReply(due.request, due.reply);
      },
      &delayed);
  const std::int64_t wait = state.control.delay.count();
  const timeval after = {static_cast<time_t>(wait / 1'000'000),
                         static_cast<suseconds_t>(wait % 1'000'000)};
  evtimer_add(delayed.timer, &after);
}

void FakePlatform::Impl::CancelDelayed(evhttp_connection* connection) {
  const auto found = delayed_.find(connection);
  if (found == delayed_.end())
    return;
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
  event_free(found->second.timer);
  delayed_.erase(found);
}

leaf::result<void> CheckPlatformSettings(const PlatformSettings& settings) {
  if (ParseEndpoint(settings.listen))
    return {};
  return leaf::new_error(
      Error{ErrorCode::kAddressInvalid,
            "'" + settings.listen + "' is not an IPv4 address with a port"});
}

FakePlatform::FakePlatform(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

FakePlatform::~FakePlatform() = default;

leaf::result<std::unique_ptr<FakePlatform>> FakePlatform::Create(
    event_base* base,
    const PlatformSettings& settings) {
  auto impl = std::make_unique<Impl>(base);
  BOOST_LEAF_CHECK(impl->Listen(settings));
  return std::unique_ptr<FakePlatform>(new FakePlatform(std::move(impl)));
}

const std::string& FakePlatform::Address() const {
  return impl_->address;
}

PlatformState& FakePlatform::State() {
  return impl_->state;
}

}  // namespace cicadadrum
