// Conversion between HttpFields and the key-value lists of evhttp.

#ifndef CICADADRUM_LOOP_HTTP_FIELDS_H_
#define CICADADRUM_LOOP_HTTP_FIELDS_H_

#include <string>

#include "cicadadrum/loop/http_message.h"

struct evbuffer;
struct evkeyvalq;

namespace cicadadrum {

// Copies all fields of `list`, in their order.
HttpFields ReadFields(const evkeyvalq* list);

// Appends `fields` to `list`.
void WriteFields(const HttpFields& fields, evkeyvalq* list);

// Removes all bytes from `buffer` and returns them.
std::string DrainBuffer(evbuffer* buffer);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_FIELDS_H_
