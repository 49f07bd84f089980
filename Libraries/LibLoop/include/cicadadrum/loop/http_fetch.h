// Blocking HTTP calls for command-line programs.

#ifndef CICADADRUM_LOOP_HTTP_FETCH_H_
#define CICADADRUM_LOOP_HTTP_FETCH_H_

#include <string>
#include <vector>

#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_client.h"
#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

struct HttpCall {
  std::string address;  // IP:port
  HttpRequest request;
  HttpOutcome outcome = HttpOutcome::kNotConnected;
  HttpResponse response;
};

// Sends all calls at once and runs the loop until each has an outcome, at most
// for `timeout`. Must not be called from a callback of the loop.
void FetchAll(EventLoop& loop, std::vector<HttpCall>& calls, Duration timeout);

// Sends one call and returns it with its outcome.
HttpCall Fetch(EventLoop& loop, HttpCall call, Duration timeout);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_FETCH_H_
