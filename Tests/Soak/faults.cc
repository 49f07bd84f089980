// Parses lists of faults.

#include "faults.h"

#include <algorithm>
#include <string>

#include "cicadadrum/base/error.h"

namespace cicadadrum::platform {

namespace leaf = boost::leaf;

std::vector<Fault> AllFaults() {
  std::vector<Fault> faults;
  faults.reserve(EnumNames<Fault>::kTable.size());
  for (const auto& entry : EnumNames<Fault>::kTable)
    faults.push_back(entry.value);
  return faults;
}

leaf::result<std::vector<Fault>> ParseFaults(std::string_view names) {
  std::vector<Fault> faults;
  while (!names.empty()) {
    const std::string_view name = names.substr(0, names.find(','));
    const auto fault = ParseName<Fault>(name);
    if (!fault)
      return leaf::new_error(
          Error{ErrorCode::kInvalidSettings,
                "--faults: '" + std::string(name) + "' is no fault"});
    faults.push_back(*fault);
    names.remove_prefix(std::min(names.size(), name.size() + 1));
  }
  return faults;
}

}  // namespace cicadadrum::platform
