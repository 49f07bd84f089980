// Settings of the processes: loading and checking.

#ifndef CICADADRUM_CONFIGURATION_SETTINGS_H_
#define CICADADRUM_CONFIGURATION_SETTINGS_H_

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/model/configuration.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

struct EntrySettings {
  EntryVm self;
  Deployment deployment;
  std::string log_level;
  std::string trace_file;  // Empty: no spans are written.
  std::uint32_t max_connections = 0;
  std::uint32_t max_body_bytes = 0;
  std::uint64_t max_buffered_bytes = 0;
  std::uint32_t max_connections_per_server = 0;
};

// Loads a deployment file. Errors: kFileUnreadable, kInvalidSettings with file,
// key path, value and what is allowed.
boost::leaf::result<Deployment> LoadDeployment(const std::string& path);

// Loads an entry VM's settings and the deployment file that they name. Errors
// as LoadDeployment.
boost::leaf::result<EntrySettings> LoadEntrySettings(const std::string& path);

// Parses the two lists and checks them against the deployment. The result has
// version 0. Error: kInvalidConfiguration.
boost::leaf::result<Configuration> ParseConfiguration(
    const std::string& text,
    const std::string& source,
    const Deployment& deployment);

// Returns the two lists as JSON; ParseConfiguration reads it back.
std::string FormatConfiguration(const Configuration& configuration);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONFIGURATION_SETTINGS_H_
