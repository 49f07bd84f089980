// State of the HTTP server: its connections and their requests.

#ifndef CICADADRUM_LOOP_HTTP_SERVER_IMPL_H_
#define CICADADRUM_LOOP_HTTP_SERVER_IMPL_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "body_buffer.h"
#include "byte_budget.h"
#include "chunk_reader.h"
#include "cicadadrum/base/enum_names.h"
#include "cicadadrum/loop/http_server.h"
#include "http_request_head.h"
#include "request_order.h"

namespace cicadadrum {

// Bytes that are read at a time. Of requests ahead, the rest stays in the
// kernel.
constexpr std::size_t kHeadReadBytes = 4096;
constexpr std::size_t kBodyReadBytes = 16'384;

constexpr std::uint16_t kRequestTimeout = 408;
constexpr std::uint16_t kContentTooLarge = 413;
constexpr std::uint16_t kHeadTooLarge = 431;
constexpr std::uint16_t kServiceUnavailable = 503;

// Bodies of responses that the server still holds. Shared with these bodies,
// because libevent may free them after the server.
struct UnsentBodies {
  std::uint64_t bytes = 0;
  std::function<void(std::uint64_t unsent_bytes)> changed;
};

// One body of a response, which is counted as long as it exists.
class UnsentBody {
 public:
  UnsentBody(std::shared_ptr<UnsentBodies> unsent, std::string bytes);
  ~UnsentBody();
  UnsentBody(const UnsentBody&) = delete;
  UnsentBody& operator=(const UnsentBody&) = delete;

  const std::string& bytes() const { return bytes_; }

 private:
  std::shared_ptr<UnsentBodies> unsent_;
  std::string bytes_;
};

// What the server reads next from a connection.
enum class ReadPhase : std::uint8_t {
  kHead,
  kBodyStart,  // The head is complete; the request waits for earlier ones.
  kBody,
  kDiscarded,  // The last response has been sent; the input is dropped.
};

template <>
struct EnumNames<ReadPhase> {
  static constexpr auto kTable = std::to_array<EnumName<ReadPhase>>({
      {ReadPhase::kHead, "head"},
      {ReadPhase::kBodyStart, "body-start"},
      {ReadPhase::kBody, "body"},
      {ReadPhase::kDiscarded, "discarded"},
  });
};

struct HttpServer::Impl {
  // A request without a complete response. Requests that the server answers
  // itself have no id.
  struct Exchange {
    std::uint64_t id = 0;
    HttpMethod method = HttpMethod::kGet;
    bool is_http_1_0 = false;
    std::uint64_t held_bytes = 0;          // Of the request.
    std::optional<HttpResponse> response;  // Without its body.
    std::unique_ptr<UnsentBody> body;      // Of the response.
  };

  struct Connection : std::enable_shared_from_this<Connection> {
    Impl* server = nullptr;
    std::uint64_t id = 0;
    bufferevent* bev = nullptr;  // Null after the connection was closed.
    std::deque<Exchange> exchanges;
    ReadPhase phase = ReadPhase::kHead;
    // A loop over the input runs, so responses need not resume it.
    bool is_reading = false;
    // The input may hold requests behind one that was read. The connection is
    // in `waiting`, or paused.
    bool has_requests_ahead = false;
    bool is_waiting = false;     // In `waiting`.
    bool has_requested = false;  // A whole request was read.
    // No further request is read. The response to the last one of `exchanges`
    // closes the connection.
    bool is_closing = false;
    bool is_paused = false;      // Memory is short.
    bool is_input_full = false;  // Nothing is read until requests are.

    RequestHead head;                    // Of the request that is being read.
    std::uint64_t head_memory = 0;       // MemoryOfHead of `head`.
    std::uint64_t empty_line_bytes = 0;  // Before the head.
    std::size_t searched_bytes = 0;  // Of the input, for the end of the head.
    BodyBuffer body;
    ChunkReader chunks;
    std::uint64_t max_body_bytes = 0;
    TimePoint head_until = kNever;  // Set while a head is incomplete.
    TimePoint body_started_at;
    TimePoint body_until = kNever;  // Set while a body is incomplete.

    TimePoint idle_since;  // Since when no request is read or handled.
    TimePoint progressed_at;
    std::uint64_t progress_bytes = 0;  // Received since then.
    std::size_t unread_bytes = 0;      // Of responses, at the last sweep.
    TimePoint read_at;  // When the caller last read of its responses.
    TimePoint discard_until = kNever;
    std::uint64_t discarded_bytes = 0;
    std::uint64_t counted_bytes = 0;  // In HttpServerCounters::held_bytes.
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  Impl(EventLoop& event_loop,
       HttpServerOptions server_options,
       RequestHandler handler,
       CloseHandler close);

  // http_server.cc
  void Accept(evutil_socket_t fd);
  void Close(Connection& connection);
  // Closes the connection and reports its requests as ended.
  void Lose(Connection& connection);
  void HandleEvent(Connection& connection, short what);
  Connection* ConnectionOf(std::uint64_t id) const;

  // http_server_reading.cc
  void HandleInput(Connection& connection);
  // Reads a request, if it may be handled now. Those behind it wait for a turn
  // of their own, so that no connection keeps the others waiting.
  void ReadRequests(Connection& connection);
  // Reads a request. Returns whether there may be another one in the input.
  bool ReadRequest(Connection& connection);
  void WaitForTurn(Connection& connection);
  // Reads a request from each of the connections whose turn it is.
  void ReadWaiting();
  // Return whether there may be more to read.
  bool ReadHead(Connection& connection);
  bool StartBody(Connection& connection);
  bool ReadBody(Connection& connection);
  bool ReadLength(Connection& connection);
  bool ReadChunks(Connection& connection);
  bool AppendToBody(Connection& connection, std::size_t size);
  void Dispatch(Connection& connection);
  void Discard(Connection& connection);
  // Answers the request that is being read, and reads no other one.
  void Refuse(Connection& connection, std::uint16_t status);
  std::uint64_t MaxBodyBytes() const;
  RequestOrder OrderOf(const Connection& connection) const;

  // http_server_writing.cc
  void HandleOutput(Connection& connection);
  // Writes the responses that are due.
  void WriteResponses(Connection& connection);
  void WriteResponse(Connection& connection, Exchange& exchange, bool closes);
  const std::string& DateValue();
  // Waits a moment for the caller to close, so that it receives the response
  // although it may still be sending.
  void StartDiscarding(Connection& connection);
  bool IsFlushed() const;
  void CheckFlushed();
  void EndFlush(const std::function<void()>& callback);

  // http_server_limits.cc
  void Count(Connection& connection);
  std::uint64_t TotalBytes() const {
    return counters.held_bytes + unsent->bytes;
  }
  ConnectionUse UseOf(const Connection& connection) const;
  // Size of the body that is being read, as far as it is known.
  static std::uint64_t ExpectedBytes(const Connection& connection);
  // Whether memory is free for more requests of the connection.
  bool MayRead(const Connection& connection) const;
  // Pauses, resumes and evicts connections.
  void ApplyBudget();
  // Applies the budget soon.
  void SchedulePlan();
  void Pause(Connection& connection);
  void Resume(Connection& connection);
  void Evict(Connection& connection);
  // Applies the time limits to all connections.
  void Sweep();
  void SweepConnection(Connection& connection, TimePoint now);
  void ScheduleSweep();
  // Whether the connection may be closed for a new one.
  bool IsDisplaceable(const Connection& connection, TimePoint now) const;
  // Closes a connection for a new one. Returns whether there was one.
  bool Displace();
  void StopAccepting();

  EventLoop& loop;
  HttpServerOptions options;
  RequestHandler on_request;
  CloseHandler on_close;
  ByteBudget budget;
  std::uint64_t favoured = 0;  // Id of the connection whose body is favoured.
  evconnlistener* listener = nullptr;
  bool is_accepting = false;
  std::map<std::uint64_t, ConnectionPointer> connections;
  // Connections with requests ahead, in the order of their turns.
  std::deque<ConnectionPointer> waiting;
  // The connections of the requests that are being handled.
  std::unordered_map<std::uint64_t, Connection*> connections_by_request;
  std::uint64_t next_request = 1;
  std::uint64_t next_connection = 1;
  std::size_t paused_count = 0;
  bool is_plan_scheduled = false;
  bool is_sweep_scheduled = false;
  // Requests that ended with Abort of another one on the same connection.
  std::vector<std::uint64_t> lost_requests;
  std::unique_ptr<Timer> resume_accept;
  std::unique_ptr<Timer> turn_timer;
  std::unique_ptr<Timer> sweep_timer;
  std::unique_ptr<Timer> budget_timer;
  std::unique_ptr<Timer> lost_timer;
  std::unique_ptr<Timer> flush_timer;
  TimePoint flush_until = kNever;  // Set while WhenFlushed waits.
  std::string date;
  std::int64_t date_second = 0;
  std::shared_ptr<UnsentBodies> unsent = std::make_shared<UnsentBodies>();
  HttpServerCounters counters;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_SERVER_IMPL_H_
