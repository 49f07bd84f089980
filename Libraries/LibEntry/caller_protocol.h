// The HTTP interface for callers: converts HTTP requests to events and
// decisions to HTTP responses.

#ifndef CICADADRUM_ENTRY_CALLER_PROTOCOL_H_
#define CICADADRUM_ENTRY_CALLER_PROTOCOL_H_

#include <optional>
#include <string>

#include "cicadadrum/loop/http_message.h"
#include "cicadadrum/peer/messages.h"
#include "cicadadrum/steering/events.h"

namespace cicadadrum {

// Header fields of the caller interface; docs/interface.md explains them.
inline constexpr char kClientAccountField[] = "Cicadadrum-Client-Account";
inline constexpr char kClassField[] = "Cicadadrum-Class";
inline constexpr char kDeadlineField[] = "Cicadadrum-Deadline-Ms";
inline constexpr char kKeyField[] = "Cicadadrum-Request-Key";
inline constexpr char kUploadField[] = "Cicadadrum-Upload";
inline constexpr char kFloorField[] = "Cicadadrum-Configuration-Floor";
inline constexpr char kVersionField[] = "Cicadadrum-Configuration-Version";
inline constexpr char kVerdictField[] = "Cicadadrum-Verdict";
inline constexpr char kReasonField[] = "Cicadadrum-Reason";
inline constexpr char kUseEntryField[] = "Cicadadrum-Use-Entry";
inline constexpr char kShedField[] = "Cicadadrum-Shed";
inline constexpr char kTraceField[] = "traceparent";

// Parses a service request (/v1/services/<service>/<target>). Returns
// std::nullopt and sets `error_message` if a header field is malformed. `now`
// is the time from which the request's deadline counts.
std::optional<RequestArrived> ReadServiceRequest(const HttpRequest& request,
                                                 std::uint64_t id,
                                                 TimePoint now,
                                                 std::string& error_message);

// Converts an HTTP request to the message that forwards it to the home of its
// request key, and back. RestoreForwardedRequest() sets only the client
// account, class and request key fields.
ForwardedRequest MakeForwardedRequest(const HttpRequest& request,
                                      const RequestArrived& arrived,
                                      std::string traceparent);
HttpRequest RestoreForwardedRequest(const ForwardedRequest& forwarded);

// Returns the target of the request at the backend server: the caller's target
// without /v1/services/<service>.
std::string BackendTarget(const HttpRequest& request);

// Returns the HTTP status for a refusal.
std::uint16_t StatusOf(Verdict verdict, RefusalReason reason);

// Returns the response to a request that the entry VM refuses. A positive
// `retry_after` is rounded up to whole seconds for the Retry-After field;
// `detail` is sent in the JSON body.
HttpResponse MakeRefusal(Verdict verdict,
                         RefusalReason reason,
                         Duration retry_after,
                         const std::string& detail);

// Returns the response to a repeated request from the stored result of its
// first execution.
HttpResponse MakeStoredResponse(const StoredAnswer& stored);

// Returns a response with a JSON body.
HttpResponse MakeJsonResponse(std::uint16_t status, std::string body);

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_CALLER_PROTOCOL_H_
