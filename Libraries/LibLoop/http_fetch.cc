// Blocking HTTP requests for command-line programs.

#include "cicadadrum/loop/http_fetch.h"

namespace cicadadrum {

void FetchAll(EventLoop& loop, std::vector<HttpCall>& calls, Duration timeout) {
  HttpClient client(loop, {});
  std::size_t unfinished = calls.size();
  if (unfinished == 0)
    return;
  for (HttpCall& call : calls) {
    client.Send(call.address, call.request, loop.Now() + timeout,
                [&loop, &call, &unfinished](HttpOutcome outcome,
                                            HttpResponse response) {
                  call.outcome = outcome;
                  call.response = std::move(response);
                  if (--unfinished == 0)
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
