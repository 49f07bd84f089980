// Blocking HTTP requests for command-line programs.

#ifndef CICADADRUM_LOOP_HTTP_FETCH_H_
#define CICADADRUM_LOOP_HTTP_FETCH_H_

#include <string>
#include <vector>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

// A request to one address, and its outcome once the request has ended.
struct HttpCall {
  std::string address;  // IP:port
  HttpRequest request;
  HttpOutcome outcome = HttpOutcome::kNotConnected;
  HttpResponse response;  // Set if the outcome is kAnswered.
};

// Sends the requests of all calls in parallel and runs the loop until each call
// has an outcome, but no longer than `timeout`. Must not be called from a
// callback of the loop.
void FetchAll(EventLoop& loop, std::vector<HttpCall>& calls, Duration timeout);

// Sends the request of one call and returns the call with its outcome. Must not
// be called from a callback of the loop.
HttpCall Fetch(EventLoop& loop, HttpCall call, Duration timeout);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_FETCH_H_
