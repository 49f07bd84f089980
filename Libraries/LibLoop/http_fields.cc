// Comparison of fields, and conversion between HttpFields and the key-value
// lists of evhttp.

#include "http_fields.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <utility>

namespace cicadadrum {

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view WithoutBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

std::string_view FindField(const HttpFields& fields, std::string_view name) {
  for (const auto& [field_name, value] : fields) {
    if (EqualsIgnoringCase(field_name, name))
      return value;
  }
  return {};
}

std::uint64_t MemoryOfHead(const HttpRequest& request) {
  // Short strings are stored in the object itself.
  const auto allocated = [](const std::string& text) -> std::uint64_t {
    return text.capacity() < sizeof(std::string) / 2 ? 0 : text.capacity() + 1;
  };
  std::uint64_t bytes =
      allocated(request.target) + allocated(request.path) +
      request.headers.capacity() * sizeof(HttpFields::value_type);
  for (const auto& [name, value] : request.headers)
    bytes += allocated(name) + allocated(value);
  return bytes;
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
