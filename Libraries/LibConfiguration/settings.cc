// Loading of settings files and of the lists of client accounts and plans, with
// the checks that a schema can't express.

#include "cicadadrum/configuration/settings.h"

#include <capnp/message.h>

#include <algorithm>
#include <filesystem>
#include <optional>
#include <set>

#include "cicadadrum/base/error.h"
#include "cicadadrum/configuration/json.h"
#include "conversion.h"
#include "earlier_keys.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

using Problem = std::optional<std::string>;

constexpr std::uint32_t kMaxShiftCapPercent = 100;

std::string Quote(const std::string& text) {
  return "'" + text + "'";
}

// Returns the key path of `key` in item `index` of `list`, or the path of the
// item if `key` is empty.
std::string KeyPath(const std::string& list,
                    std::size_t index,
                    const std::string& key) {
  return list + "[" + std::to_string(index) + "]" +
         (key.empty() ? "" : "." + key);
}

// Returns a description of the problem if a name in `items` is empty or occurs
// twice, and nothing otherwise.
template <typename Item>
Problem CheckNames(const std::vector<Item>& items, const std::string& list) {
  std::set<std::string> seen;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].name.empty())
      return KeyPath(list, i, "name") + ": is empty; expected a name";
    if (!seen.insert(items[i].name).second)
      return KeyPath(list, i, "name") + ": " + Quote(items[i].name) +
             " is given twice; names must be unique";
  }
  return std::nullopt;
}

template <typename Item>
bool HasName(const std::vector<Item>& items, const std::string& name) {
  return std::any_of(items.begin(), items.end(),
                     [&](const Item& item) { return item.name == name; });
}

Problem CheckRegions(const Deployment& deployment) {
  if (deployment.regions.empty())
    return "regions: is empty; expected at least one region";
  for (std::size_t i = 0; i < deployment.regions.size(); ++i) {
    if (deployment.regions[i].failure_domains.empty())
      return KeyPath("regions", i, "failureDomains") +
             ": is empty; expected at least one failure domain";
  }
  return CheckNames(deployment.regions, "regions");
}

Problem CheckEntry(const Deployment& deployment,
                   std::size_t index,
                   std::set<std::string>& addresses) {
  const EntryVm& entry = deployment.entries[index];
  const auto region = std::find_if(
      deployment.regions.begin(), deployment.regions.end(),
      [&](const Region& candidate) { return candidate.name == entry.region; });
  if (region == deployment.regions.end())
    return KeyPath("entries", index, "region") + ": " + Quote(entry.region) +
           " is not one of regions";
  const auto& domains = region->failure_domains;
  if (std::find(domains.begin(), domains.end(), entry.failure_domain) ==
      domains.end()) {
    return KeyPath("entries", index, "failureDomain") + ": " +
           Quote(entry.failure_domain) + " is not a failure domain of region " +
           Quote(entry.region);
  }
  for (const auto& [key, address] :
       {std::pair("callerAddress", &entry.caller_address),
        std::pair("peerAddress", &entry.peer_address)}) {
    if (address->find(':') == std::string::npos)
      return KeyPath("entries", index, key) + ": " + Quote(*address) +
             " is not IP:port";
    if (!addresses.insert(*address).second)
      return KeyPath("entries", index, key) + ": " + Quote(*address) +
             " is given twice; addresses must be unique";
  }
  return std::nullopt;
}

Problem CheckDeployment(const Deployment& deployment) {
  if (auto problem = CheckRegions(deployment))
    return problem;
  if (auto problem = CheckNames(deployment.services, "services"))
    return problem;
  if (auto problem = CheckNames(deployment.entries, "entries"))
    return problem;
  if (deployment.shift_cap_percent < 1 ||
      deployment.shift_cap_percent > kMaxShiftCapPercent) {
    return "shiftCapPercent: " + std::to_string(deployment.shift_cap_percent) +
           " is not allowed; expected an integer from 1 to 100";
  }
  if (deployment.shift_window <= Duration::zero())
    return "shiftWindowSeconds: 0 is not allowed; expected at least 1";
  std::set<std::string> addresses = {deployment.platform_address};
  for (std::size_t i = 0; i < deployment.entries.size(); ++i) {
    if (auto problem = CheckEntry(deployment, i, addresses))
      return problem;
  }
  return std::nullopt;
}

Problem CheckPlan(const Plan& plan,
                  std::size_t index,
                  const Deployment& deployment) {
  for (const std::string& service : plan.services) {
    if (!HasName(deployment.services, service))
      return KeyPath("plans", index, "services") + ": " + Quote(service) +
             " is not a service of the deployment";
  }
  for (const std::string& region : plan.regions) {
    if (!HasName(deployment.regions, region))
      return KeyPath("plans", index, "regions") + ": " + Quote(region) +
             " is not a region of the deployment";
  }
  if (plan.services.empty() || plan.classes.empty() || plan.regions.empty())
    return KeyPath("plans", index, "") +
           ": services, classes and regions must each have at least one item";
  return std::nullopt;
}

Problem CheckConfiguration(const Configuration& configuration,
                           const Deployment& deployment) {
  if (auto problem =
          CheckNames(configuration.client_accounts, "client_accounts"))
    return problem;
  if (auto problem = CheckNames(configuration.plans, "plans"))
    return problem;
  for (std::size_t i = 0; i < configuration.plans.size(); ++i) {
    if (auto problem = CheckPlan(configuration.plans[i], i, deployment))
      return problem;
  }
  for (std::size_t i = 0; i < configuration.client_accounts.size(); ++i) {
    const std::string& plan = configuration.client_accounts[i].plan;
    if (!HasName(configuration.plans, plan))
      return KeyPath("client_accounts", i, "plan") + ": " + Quote(plan) +
             " is not one of plans";
  }
  return std::nullopt;
}

leaf::error_id Fail(ErrorCode code,
                    const std::string& source,
                    const std::string& problem) {
  return leaf::new_error(Error{code, source + ": " + problem});
}

}  // namespace

leaf::result<Deployment> LoadDeployment(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(root, DecodeJsonAs<schema::Deployment>(
                            text, path, ErrorCode::kInvalidSettings, message));
  Deployment deployment = ReadDeployment(root);
  if (const auto problem = CheckDeployment(deployment))
    return Fail(ErrorCode::kInvalidSettings, path, *problem);
  return deployment;
}

leaf::result<EntrySettings> LoadEntrySettings(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(root, DecodeJsonAs<schema::EntrySettings>(
                            text, path, ErrorCode::kInvalidSettings, message));
  const auto folder = std::filesystem::path(path).parent_path();
  const std::string deployment_path =
      (folder / root.getDeploymentFile().cStr()).string();
  BOOST_LEAF_AUTO(deployment, LoadDeployment(deployment_path));
  EntrySettings settings;
  const std::string name = root.getEntry();
  const auto self =
      std::find_if(deployment.entries.begin(), deployment.entries.end(),
                   [&](const EntryVm& entry) { return entry.name == name; });
  if (self == deployment.entries.end()) {
    return Fail(ErrorCode::kInvalidSettings, path,
                "entry: " + Quote(name) + " is not one of the entries in " +
                    deployment_path);
  }
  settings.self = *self;
  settings.deployment = std::move(deployment);
  settings.log_level = root.getLogLevel();
  settings.trace_file = root.getTraceFile();
  settings.max_connections = root.getMaxConnections();
  settings.max_body_bytes = root.getMaxBodyBytes();
  settings.max_buffered_bytes = root.getMaxBufferedBytes();
  settings.max_connections_per_server = root.getMaxConnectionsPerServer();
  return settings;
}

leaf::result<Configuration> ParseConfiguration(const std::string& text,
                                               const std::string& source,
                                               const Deployment& deployment) {
  capnp::MallocMessageBuilder message;
  BOOST_LEAF_AUTO(current_text, ReplaceEarlierKeys(text, source));
  BOOST_LEAF_AUTO(root, DecodeJsonAs<schema::Configuration>(
                            current_text, source,
                            ErrorCode::kInvalidConfiguration, message));
  Configuration configuration = ReadConfiguration(root);
  if (const auto problem = CheckConfiguration(configuration, deployment))
    return Fail(ErrorCode::kInvalidConfiguration, source, *problem);
  return configuration;
}

std::string FormatConfiguration(const Configuration& configuration) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::Configuration>();
  WriteConfiguration(configuration, root);
  return EncodeJson(root.asReader());
}

}  // namespace cicadadrum
