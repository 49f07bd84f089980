// State of the HTTP client: its connections and its calls.

#ifndef CICADADRUM_LOOP_HTTP_CLIENT_IMPL_H_
#define CICADADRUM_LOOP_HTTP_CLIENT_IMPL_H_

#include <event2/bufferevent.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cicadadrum/loop/http_client.h"
#include "http_parser_state.h"

namespace cicadadrum {

struct HttpClient::Impl {
  struct Call;

  // Invariant: either `call` is set, or the connection is in `idle` of its
  // AddressConnections, or it is in `sending_rest`.
  struct Connection {
    Impl* client = nullptr;
    std::string address;
    bufferevent* bev = nullptr;
    Call* call = nullptr;
    ResponseParser parser;
    bool connected = false;
    TimePoint connected_at;  // Set with `connected`.
    bool check_sent = false;
    bool check_passed = false;      // The response to the check was accepted.
    bool reused = false;            // By the current call.
    std::size_t request_bytes = 0;  // Size of the current call's request.
    std::uint64_t received_bytes = 0;  // During the current call.
    // The share of this connection in HttpClientCounters::buffered_bytes.
    std::uint64_t buffered_bytes = 0;
    // No bytes are read until enough memory is free.
    bool paused = false;
    // A response that does not belong to the call arrived.
    bool skipped_response = false;
    TimePoint usable_until;  // Set while the connection is idle.
    // While the connection is in `sending_rest`: how long it will be usable
    // when it becomes idle, and the time limit until then.
    Duration usable_time{};
    std::unique_ptr<Timer> send_timer;
    // Hashes of the ids (echoed values) of all requests that were sent.
    std::vector<std::uint64_t> sent_ids;
  };

  // The connections to one address.
  struct AddressConnections {
    // The most recently used connection is last.
    std::vector<Connection*> idle;
    // Invariant: the number of idle connections plus those with a call and
    // those in `sending_rest`.
    std::uint32_t open_count = 0;
  };

  struct Call {
    std::uint64_t id = 0;
    std::string address;
    std::string echo;  // Expected value of the echoed header.
    bool head_request = false;
    Connection* connection = nullptr;
    Callback callback;
    ReadyHandler on_ready;  // May be empty.
    std::unique_ptr<Timer> timer;
    TimePoint deadline;            // Without extensions.
    std::uint32_t extensions = 0;  // Of the deadline, so far.
    // Bytes that had been received at the last extension.
    std::uint64_t received_at_extension = 0;
    std::optional<ConnectionCheck> check;
    // Set while the call waits for its connection or for the response to the
    // check.
    std::optional<HttpRequest> waiting_request;
    std::unique_ptr<Timer> check_timer;  // Set while the call is checked.
    std::uint32_t checks = 0;            // Sent for this call.
  };

  Impl(EventLoop& event_loop, HttpClientOptions client_options)
      : loop(event_loop), options(std::move(client_options)) {}

  EventLoop& loop;
  HttpClientOptions options;
  std::map<std::string, AddressConnections> connections_by_address;
  // A std::map, whose elements keep their addresses: connections point to
  // calls.
  std::map<std::uint64_t, Call> calls;
  // Connections whose call is complete, but whose request has not been sent in
  // full: the server has responded early and still reads it.
  std::set<Connection*> sending_rest;
  std::uint64_t next_id = 1;
  std::uint64_t reading_limit = std::numeric_limits<std::uint64_t>::max();
  // Invariant: the number of paused connections.
  std::size_t paused_count = 0;
  HttpClientCounters counters;

  Connection* ReuseIdle(AddressConnections& address_connections,
                        const Call& call);
  // Whether the call's request may be sent on the connection without a check.
  bool NeedsNoCheck(const Call& call, const Connection& connection) const;
  Connection* Open(const std::string& address,
                   AddressConnections& address_connections,
                   Duration connect_timeout);
  void SendRequest(Call& call, const HttpRequest& request);
  void WriteRequest(Call& call, const HttpRequest& request);
  // Makes the call the one of its connection, for a request with this method.
  void Attach(Call& call, HttpMethod method);
  // Sends the request of a call that has waited, unless it is withheld.
  void SendWaitingRequest(Connection& connection);
  // Sends the call's check. `request` follows when the check has been passed.
  void SendCheck(Call& call, const HttpRequest& request);
  // Sends the call's own request if the response to the check is accepted.
  void CompleteCheck(Connection& connection);
  void Complete(Connection& connection, HttpOutcome outcome);
  void ScheduleCompletion(Call& call, HttpOutcome outcome);
  void TimeOutCall(std::uint64_t id);
  void TimeOutCheck(std::uint64_t id);
  HttpOutcome OutcomeOfCheckTimeout(const Call& call) const;
  static HttpOutcome OutcomeOfMalformedResponse(const Call& call);
  // Extends the deadline of a call whose response is arriving. Returns whether
  // it did.
  bool ExtendDeadline(Call& call);
  // Whether no byte of the call's own request was sent.
  static bool HasSentNothing(const Connection& connection);
  static bool HasUnsentBytes(const Connection& connection);
  static bool EndedInOrder(const Connection& connection, short what);
  // Whether the connection can carry a request after a complete response and
  // the rest of its request.
  bool IsReusable(const Connection& connection) const;
  void Read(Connection& connection);
  void CountBufferedBytes(Connection& connection);
  void LimitBufferedBytes();
  // Pauses the connection if it receives a large response while too much is
  // buffered and another large response is being read.
  void PauseIfNeeded(Connection& connection);
  // Resumes paused connections, the oldest call first, as far as memory allows.
  // At least one large response is always read, so that memory becomes free.
  void ResumeReading();
  // Whether a large response other than that of `except` is being read.
  bool IsReadingLarge(const Connection* except) const;
  std::uint64_t DiscardedBytes(const Connection& connection) const;
  bool IsResponseToCall(const Connection& connection) const;
  void HandleEvent(Connection& connection, short what);
  void ReturnToIdle(Connection& connection, Duration usable);
  // Closes the connection if the request has not been sent by `deadline`.
  void FinishSending(Connection& connection,
                     TimePoint deadline,
                     Duration usable);
  // Called when the kernel has taken all bytes that were to be sent.
  void HandleSent(Connection& connection);
  void Close(Connection& connection);
};

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_CLIENT_IMPL_H_
