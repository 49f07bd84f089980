// cicadadrum-bench: compares the pool owner with policies that choose servers
// without a pool owner, in simulated deployments.

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <iostream>

#include "report.h"

namespace cicadadrum {

namespace {

namespace po = boost::program_options;

std::vector<std::string> ScenarioNames(const std::string& folder) {
  std::vector<std::string> names;
  for (const auto& file : std::filesystem::directory_iterator(folder))
    names.push_back(file.path().stem().string());
  std::sort(names.begin(), names.end());
  return names;
}

// Returns the enumerators with the given names, or all enumerators if `names`
// is empty. Unknown names are ignored.
template <typename Enum>
std::vector<Enum> ParseAll(const std::vector<std::string>& names) {
  std::vector<Enum> values;
  for (const auto& [value, name] : EnumNames<Enum>::kTable) {
    if (names.empty() ||
        std::find(names.begin(), names.end(), name) != names.end())
      values.push_back(value);
  }
  return values;
}

int Run(int argc, char** argv) {
  using Names = std::vector<std::string>;
  ReportOptions options;
  Names deployments;
  Names policies;
  po::options_description description("Options");
  auto add = description.add_options();
  add("help", "print this text");
  add("folder",
      po::value(&options.folder)->default_value(CICADADRUM_SCENARIO_DIR),
      "folder of the scenario files");
  add("scenario", po::value(&options.scenarios)->multitoken(),
      "scenarios to run (default: all)");
  add("deployment", po::value(&deployments)->multitoken(),
      "deployments to simulate (default: all)");
  add("policy", po::value(&policies)->multitoken(),
      "policies to compare (default: all)");
  add("seed", po::value(&options.seed)->default_value(1), "seed of the run");
  add("load", po::value(&options.load)->default_value(1),
      "factor on all arrival rates");
  add("no-headroom", "leave out the sweep over loads");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  options.headroom = !values.contains("no-headroom");
  options.deployments = ParseAll<DeploymentName>(deployments);
  options.policies = ParseAll<Policy>(policies);
  if (options.scenarios.empty())
    options.scenarios = ScenarioNames(options.folder);
  return PrintReport(options) ? 0 : 1;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  try {
    return cicadadrum::Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
