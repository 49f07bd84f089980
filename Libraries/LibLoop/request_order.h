// Decides which requests of one connection may run beside each other.

#ifndef CICADADRUM_LOOP_REQUEST_ORDER_H_
#define CICADADRUM_LOOP_REQUEST_ORDER_H_

#include <cstddef>
#include <cstdint>

#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

// Responses that hold more keep further requests of their connection from being
// read.
constexpr std::uint64_t kMaxUnreadBytes = 65'536;

// The requests of a connection that have no response in the output yet.
struct RequestOrder {
  std::size_t unanswered = 0;
  HttpMethod last_method = HttpMethod::kGet;  // Set if `unanswered` > 0.
  std::uint64_t unread_bytes = 0;             // Of all responses.
  std::size_t max_requests = 0;
};

// GET and HEAD run beside earlier requests.
inline bool RunsBesideOthers(HttpMethod method) {
  return method == HttpMethod::kGet || method == HttpMethod::kHead;
}

// Returns whether the next head may be read.
inline bool MayReadHead(const RequestOrder& order) {
  return order.unanswered < order.max_requests &&
         order.unread_bytes <= kMaxUnreadBytes &&
         (order.unanswered == 0 || RunsBesideOthers(order.last_method));
}

// Returns whether the request whose head was read may go on. A response that
// closes the connection means to the caller that later requests were not read,
// so what must not be repeated waits for all earlier responses. So does a
// request whose interim response would come among them.
inline bool MayStart(const RequestOrder& order,
                     HttpMethod method,
                     bool expects_continue) {
  return order.unanswered == 0 ||
         (RunsBesideOthers(method) && !expects_continue);
}

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_REQUEST_ORDER_H_
