// Conversion between HttpFields and the key-value lists of evhttp.

#include "http_fields.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <utility>

namespace cicadadrum {

std::string_view FindField(const HttpFields& fields, std::string_view name) {
  for (const auto& [field_name, value] : fields) {
    if (field_name.size() == name.size() &&
        strncasecmp(field_name.data(), name.data(), name.size()) == 0)
      return value;
  }
  return {};
}

HttpBody::HttpBody(std::string bytes) {
  if (bytes.empty())
    return;
  auto owned = std::make_shared<const std::string>(std::move(bytes));
  bytes_ = *owned;
  owner_ = std::move(owned);
}

HttpFields ReadFields(const evkeyvalq* list) {
  HttpFields fields;
  for (const evkeyval* item = list->tqh_first; item != nullptr;
       item = item->next.tqe_next)
    fields.emplace_back(item->key, item->value);
  return fields;
}

void WriteFields(const HttpFields& fields, evkeyvalq* list) {
  for (const auto& [name, value] : fields)
    evhttp_add_header(list, name.c_str(), value.c_str());
}

std::string DrainBuffer(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  return bytes;
}

}  // namespace cicadadrum
