// The HTTP interface towards callers: requests into events, answers into
// responses.

#ifndef CICADADRUM_ENTRY_CALLER_PROTOCOL_H_
#define CICADADRUM_ENTRY_CALLER_PROTOCOL_H_

#include <optional>
#include <string>

#include "cicadadrum/loop/http_message.h"
#include "cicadadrum/peer/messages.h"
#include "cicadadrum/steering/events.h"

namespace cicadadrum {

// Header fields of the caller interface; docs/interface.md explains them.
inline constexpr char kCustomerField[] = "Cicadadrum-Customer";
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

// Reads a service request (/v1/services/<service>/<target>). Returns nothing if
// the path or a header field is malformed; `error_message` then says why.
std::optional<RequestArrived> ReadServiceRequest(const HttpRequest& request,
                                                 std::uint64_t id,
                                                 TimePoint now,
                                                 std::string& error_message);

// Conversion of a request that is passed to its key's home, and back.
ForwardedRequest MakeForwardedRequest(const HttpRequest& request,
                                      const RequestArrived& arrived,
                                      std::string traceparent);
HttpRequest RestoreForwardedRequest(const ForwardedRequest& forwarded);

// Returns the part of the target that the backend server gets.
std::string BackendTarget(const HttpRequest& request);

// Returns the HTTP status of a refusal.
std::uint16_t StatusOf(Verdict verdict, RefusalReason reason);

// Returns the response to a request that the entry VM answers itself.
HttpResponse MakeRefusal(Verdict verdict,
                         RefusalReason reason,
                         Duration retry_after,
                         const std::string& detail);

// Returns the response to a request whose answer is known from an earlier run.
HttpResponse MakeStoredResponse(const StoredAnswer& stored);

// Returns a response with a JSON body.
HttpResponse MakeJsonResponse(std::uint16_t status, std::string body);

}  // namespace cicadadrum

#endif  // CICADADRUM_ENTRY_CALLER_PROTOCOL_H_
