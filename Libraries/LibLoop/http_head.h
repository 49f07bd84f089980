// Heads of HTTP/1.1 messages, as the client writes and reads them.

#ifndef CICADADRUM_LOOP_HTTP_HEAD_H_
#define CICADADRUM_LOOP_HTTP_HEAD_H_

#include <string>

#include "cicadadrum/base/time.h"
#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

// Returns the head of `request` up to and including the empty line. `address`
// is the Host unless the request has that header.
std::string SerializeHead(const std::string& address,
                          const HttpRequest& request);

// Returns how long the connection may stay idle after `response`: the
// "timeout=N" parameter of its Keep-Alive header minus a margin, but at most
// `fallback`.
Duration KeepAliveTimeout(const HttpResponse& response, Duration fallback);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_HEAD_H_
