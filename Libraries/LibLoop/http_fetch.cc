// Blocking HTTP calls for command-line programs.

#include "cicadadrum/loop/http_fetch.h"

namespace cicadadrum {

void FetchAll(EventLoop& loop, std::vector<HttpCall>& calls, Duration timeout) {
  HttpClient client(loop, {});
  std::size_t open = calls.size();
  if (open == 0)
    return;
  for (HttpCall& call : calls) {
    client.Send(
        call.address, call.request, loop.Now() + timeout,
        [&loop, &call, &open](HttpOutcome outcome, HttpResponse response) {
          call.outcome = outcome;
          call.response = std::move(response);
          if (--open == 0)
            loop.Stop();
        });
  }
  loop.Run();
}

HttpCall Fetch(EventLoop& loop, HttpCall call, Duration timeout) {
  std::vector<HttpCall> calls;
  calls.push_back(std::move(call));
  FetchAll(loop, calls, timeout);
  return std::move(calls.front());
}

}  // namespace cicadadrum
