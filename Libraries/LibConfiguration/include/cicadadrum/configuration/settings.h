// Loading and checking of settings files, and parsing of the configuration (the
// lists of client accounts and plans).

#ifndef CICADADRUM_CONFIGURATION_SETTINGS_H_
#define CICADADRUM_CONFIGURATION_SETTINGS_H_

#include <cstdint>
#include <string>

#include <boost/leaf.hpp>

#include "cicadadrum/model/configuration.h"
#include "cicadadrum/model/deployment.h"

namespace cicadadrum {

// Settings of one entry VM.
struct EntrySettings {
  EntryVm self;
  Deployment deployment;
  std::string log_level;
  std::string trace_file;  // If empty, no spans are written.
  std::uint32_t max_connections = 0;
  std::uint32_t max_body_bytes = 0;      // Of one request.
  std::uint64_t max_buffered_bytes = 0;  // Request bodies in memory in total.
  std::uint32_t max_connections_per_server = 0;
};

// Loads and checks a deployment file. Errors: kFileUnreadable; kInvalidSettings
// with a text that contains the file, the key path, the value and what is
// allowed.
boost::leaf::result<Deployment> LoadDeployment(const std::string& path);

// Loads the settings of an entry VM and the deployment file that they name,
// relative to the folder of `path`. Errors: the same as those of
// LoadDeployment.
boost::leaf::result<EntrySettings> LoadEntrySettings(const std::string& path);

// Parses the lists of client accounts and plans and checks them against the
// deployment. `source` names the text in error messages. The result has version
// 0. Error: kInvalidConfiguration.
boost::leaf::result<Configuration> ParseConfiguration(
    const std::string& text,
    const std::string& source,
    const Deployment& deployment);

// Returns the lists of client accounts and plans as JSON text that
// ParseConfiguration accepts. The version is not part of the text.
std::string FormatConfiguration(const Configuration& configuration);

}  // namespace cicadadrum

#endif  // CICADADRUM_CONFIGURATION_SETTINGS_H_
