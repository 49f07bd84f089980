// Conversion between HttpFields and the key-value lists of evhttp.

#ifndef CICADADRUM_LOOP_HTTP_FIELDS_H_
#define CICADADRUM_LOOP_HTTP_FIELDS_H_

#include <string>

#include "cicadadrum/loop/http_message.h"

struct evbuffer;
struct evkeyvalq;

namespace cicadadrum {

HttpFields ReadFields(const evkeyvalq* list);
void WriteFields(const HttpFields& fields, evkeyvalq* list);

// Moves all bytes out of `buffer`.
std::string DrainBuffer(evbuffer* buffer);

}  // namespace cicadadrum

#endif  // CICADADRUM_LOOP_HTTP_FIELDS_H_
