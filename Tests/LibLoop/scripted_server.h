// A server on loopback that responds to each request with the next of a list of
// byte strings, which need not be valid HTTP. Requests that begin in a certain
// way may get a response outside the list.

#ifndef CICADADRUM_TESTS_LIBLOOP_SCRIPTED_SERVER_H_
#define CICADADRUM_TESTS_LIBLOOP_SCRIPTED_SERVER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cicadadrum/loop/event_loop.h"

namespace cicadadrum {

// How the server responds to one request.
struct ScriptedResponse {
  std::string bytes;
  bool then_close = false;
  bool then_reset = false;
  // Ends the server's direction only; the connection stays open.
  bool then_shutdown = false;
  // The bytes from here on are sent, and the connection is ended, after the
  // client has read those before.
  std::size_t split_at = std::string::npos;
  // Nothing more of the request is read until ReadAgain is called.
  bool stop_reading = false;
  // Written before `bytes` if the connection has carried a request before.
  std::string bytes_before_if_reused;
  // Written after `bytes` again and again until the client closes.
  std::string endless_bytes;
};

class ScriptedServer {
 public:
  // Endless bytes are written in blocks of about this size.
  static constexpr std::size_t kEndlessBlockBytes = 16'384;
  static constexpr std::size_t kMaxHeadBytes = 65'536;

  ScriptedServer(EventLoop& loop, std::vector<ScriptedResponse> responses)
      : responses_(std::move(responses)), loop_(loop) {
    // A write after the client has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // A small receive buffer makes long uploads wait for the server.
    const int receive_bytes = 65'536;
    sockaddr_in any{.sin_family = AF_INET, .sin_port = 0};
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto accept = [](evconnlistener* /*listener*/, evutil_socket_t fd,
                           sockaddr* /*peer*/, int /*length*/, void* argument) {
      static_cast<ScriptedServer*>(argument)->Accept(fd);
    };
    listener_ = evconnlistener_new_bind(
        loop.base(), accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr*>(&any), static_cast<int>(sizeof(any)));
    setsockopt(evconnlistener_get_fd(listener_), SOL_SOCKET, SO_RCVBUF,
               &receive_bytes, sizeof(receive_bytes));
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&bound), &length);
    address_ = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
  }

  ~ScriptedServer() {
    for (bufferevent* connection : connections_)
      bufferevent_free(connection);
    evconnlistener_free(listener_);
  }

  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const std::string& address() const { return address_; }
  std::size_t connection_count() const { return accepted_; }
  std::size_t request_count() const { return next_; }
  // Requests with a complete head, in the order of arrival.
  const std::vector<std::string>& requests() const { return requests_; }
  std::size_t received_bytes() const { return received_bytes_; }
  // Connections that are open on the server's side.
  std::size_t open_count() const { return connections_.size(); }
  // Endless bytes that were passed to the kernel or wait for it.
  std::size_t endless_byte_count() const { return endless_byte_count_; }

  // Bytes of requests that follow those which were responded to.
  std::size_t unanswered_bytes() const {
    std::size_t bytes = 0;
    for (bufferevent* connection : connections_)
      bytes += evbuffer_get_length(bufferevent_get_input(connection));
    return bytes;
  }

  // Reads the connections again that a response with `stop_reading` has left.
  void ReadAgain() {
    for (bufferevent* connection : connections_)
      bufferevent_enable(connection, EV_READ);
  }

  // From now on, requests that begin with `request_begin` get this response and
  // are not counted.
  void AlwaysRespond(std::string request_begin, std::string bytes) {
    constant_responses_[std::move(request_begin)] = std::move(bytes);
  }

  // Writes bytes to the newest connection without having received a request.
  // The client's socket has received them when this returns.
  void WriteUnsolicited(const std::string& bytes) {
    send(bufferevent_getfd(connections_.back()), bytes.data(), bytes.size(),
         MSG_NOSIGNAL);
  }

 private:
  void Accept(evutil_socket_t fd) {
    ++accepted_;
    // The rest of a split response must not wait for an acknowledgement.
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bufferevent* connection =
        bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    const auto readable = [](bufferevent* source, void* argument) {
      static_cast<ScriptedServer*>(argument)->Respond(source);
    };
    const auto ended = [](bufferevent* source, short /*what*/, void* argument) {
      static_cast<ScriptedServer*>(argument)->CloseConnection(source);
    };
    bufferevent_setcb(connection, readable, nullptr, ended, this);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
    connections_.push_back(connection);
  }

  void Respond(bufferevent* connection) {
    evbuffer* input = bufferevent_get_input(connection);
    // A head ends near its begin; what follows may be a long upload.
    evbuffer_ptr end{};
    evbuffer_ptr_set(input, &end,
                     std::min(evbuffer_get_length(input), kMaxHeadBytes),
                     EVBUFFER_PTR_SET);
    if (evbuffer_search_range(input, "\r\n\r\n", 4, nullptr, &end).pos < 0)
      return;
    if (RespondOutsideList(connection))
      return;
    received_bytes_ += evbuffer_get_length(input);
    std::string& request =
        requests_.emplace_back(evbuffer_get_length(input), 0);
    evbuffer_remove(input, request.data(), request.size());
    if (next_ == responses_.size())
      return;
    const ScriptedResponse& response = responses_[next_++];
    // send() passes the bytes to the kernel immediately, so that a close
    // directly afterwards does not discard them.
    const evutil_socket_t fd = bufferevent_getfd(connection);
    if (response.stop_reading)
      bufferevent_disable(connection, EV_READ);
    std::string bytes = response.bytes.substr(0, response.split_at);
    if (!used_connections_.insert(connection).second)
      bytes.insert(0, response.bytes_before_if_reused);
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (response.split_at <= response.bytes.size()) {
      rest_timer_ = std::make_unique<Timer>(
          loop_,
          [this, connection, &response] { SendRest(connection, response); });
      return rest_timer_->Schedule(loop_.Now());
    }
    if (!response.endless_bytes.empty())
      return WriteEndlessly(connection, response.endless_bytes);
    End(connection, response);
  }

  void SendRest(bufferevent* connection, const ScriptedResponse& response) {
    if (std::ranges::find(connections_, connection) == connections_.end())
      return;
    send(bufferevent_getfd(connection),
         response.bytes.data() + response.split_at,
         response.bytes.size() - response.split_at, MSG_NOSIGNAL);
    End(connection, response);
  }

  void End(bufferevent* connection, const ScriptedResponse& response) {
    if (response.then_reset) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(bufferevent_getfd(connection), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof(reset));
    }
    if (response.then_shutdown)
      shutdown(bufferevent_getfd(connection), SHUT_WR);
    if (response.then_close || response.then_reset)
      CloseConnection(connection);
  }

  bool RespondOutsideList(bufferevent* connection) {
    evbuffer* input = bufferevent_get_input(connection);
    for (const auto& [begin, bytes] : constant_responses_) {
      if (evbuffer_search(input, begin.data(), begin.size(), nullptr).pos != 0)
        continue;
      evbuffer_drain(input, evbuffer_get_length(input));
      send(bufferevent_getfd(connection), bytes.data(), bytes.size(),
           MSG_NOSIGNAL);
      return true;
    }
    return false;
  }

  void WriteEndlessly(bufferevent* connection, const std::string& bytes) {
    std::string& block = endless_blocks_[connection];
    while (block.size() < kEndlessBlockBytes)
      block += bytes;
    const auto writable = [](bufferevent* drained, void* argument) {
      auto* server = static_cast<ScriptedServer*>(argument);
      const std::string& next = server->endless_blocks_[drained];
      server->endless_byte_count_ += next.size();
      bufferevent_write(drained, next.data(), next.size());
    };
    const auto ended = [](bufferevent* source, short /*what*/, void* argument) {
      static_cast<ScriptedServer*>(argument)->CloseConnection(source);
    };
    bufferevent_setcb(connection, nullptr, writable, ended, this);
    writable(connection, this);
  }

  void CloseConnection(bufferevent* connection) {
    endless_blocks_.erase(connection);
    std::erase(connections_, connection);
    used_connections_.erase(connection);
    bufferevent_free(connection);
  }

  std::vector<ScriptedResponse> responses_;
  // Responses outside the list, by the begin of their requests.
  std::map<std::string, std::string> constant_responses_;
  std::size_t next_ = 0;
  std::vector<std::string> requests_;
  std::size_t accepted_ = 0;
  std::size_t received_bytes_ = 0;  // Of requests with a complete head.
  EventLoop& loop_;
  std::unique_ptr<Timer> rest_timer_;  // Sends the rest of a split response.
  evconnlistener* listener_ = nullptr;
  std::vector<bufferevent*> connections_;
  std::map<bufferevent*, std::string> endless_blocks_;
  std::size_t endless_byte_count_ = 0;
  std::set<bufferevent*> used_connections_;  // That have carried a request.
  std::string address_;
};

}  // namespace cicadadrum

#endif  // CICADADRUM_TESTS_LIBLOOP_SCRIPTED_SERVER_H_
