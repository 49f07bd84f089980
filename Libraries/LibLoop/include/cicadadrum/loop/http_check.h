// Check of responses before they are passed on.

#ifndef CICADADRUM_LOOP_HTTP_CHECK_H_
#define CICADADRUM_LOOP_HTTP_CHECK_H_

#include "cicadadrum/loop/http_message.h"

namespace cicadadrum {

// Returns whether `response` can be written as a final response: its status is
// 200 to 599, and its fields have valid names and values.
bool IsWellFormed(const HttpResponse& response);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_CHECK_H_
