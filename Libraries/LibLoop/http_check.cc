#include "cicadadrum/loop/http_check.h"

#include <algorithm>

#include "http_syntax.h"

namespace cicadadrum {

bool IsWellFormed(const HttpResponse& response) {
  return response.status >= 200 && response.status <= 599 &&
         std::ranges::all_of(response.headers, [](const auto& field) {
           return IsToken(field.first) && IsFieldValue(field.second);
         });
}

}  // namespace cicadadrum
