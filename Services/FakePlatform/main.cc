// Program fake-platform: the platform's test double for tests and the
// demonstration run.

#include <event2/event.h>

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cicadadrum/base/error.h"
#include "cicadadrum/fake_platform/fake_platform.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

constexpr int kUsageError = 2;

options::options_description DescribeOptions() {
  options::options_description description("Options of fake-platform");
  description.add_options()("settings", options::value<std::string>(),
                            "settings file, JSON with comments")(
      "check", "check the settings and exit")(
      "listen", options::value<std::string>(),
      "IP:port that overrides the address in the settings")(
      "help", "show this text")("version", "show the version");
  return description;
}

leaf::result<PlatformSettings> LoadSettings(
    const options::variables_map& values) {
  PlatformSettings settings;
  if (values.count("settings") > 0) {
    const auto path = values["settings"].as<std::string>();
    std::ifstream file(path);
    if (!file)
      return leaf::new_error(
          Error{ErrorCode::kFileUnreadable, "cannot read " + path});
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_LEAF_ASSIGN(settings, ParsePlatformSettings(text.str()));
  }
  if (values.count("listen") > 0)
    settings.listen = values["listen"].as<std::string>();
  return settings;
}

void Stop(evutil_socket_t /*signal*/, short /*events*/, void* base) {
  event_base_loopbreak(static_cast<event_base*>(base));
}

leaf::result<int> Run(const options::variables_map& values) {
  BOOST_LEAF_AUTO(settings, LoadSettings(values));
  BOOST_LEAF_CHECK(CheckPlatformSettings(settings));
  if (values.count("check") > 0)
    return 0;
  // A client that closes its connection must not end the process with SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  const std::unique_ptr<event_base, void (*)(event_base*)> base(
      event_base_new(), event_base_free);
  BOOST_LEAF_AUTO(platform, FakePlatform::Create(base.get(), settings));
  std::cout << "[fake-platform] listening on " << platform->Address()
            << std::endl;
  using Event = std::unique_ptr<event, void (*)(event*)>;
  const Event term(evsignal_new(base.get(), SIGTERM, Stop, base.get()),
                   event_free);
  const Event interrupt(evsignal_new(base.get(), SIGINT, Stop, base.get()),
                        event_free);
  event_add(term.get(), nullptr);
  event_add(interrupt.get(), nullptr);
  event_base_dispatch(base.get());
  return 0;
}

int Main(int argc, char** argv) {
  const options::options_description description = DescribeOptions();
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
  } catch (const options::error& error) {
    std::cerr << "fake-platform: " << error.what() << "\n" << description;
    return kUsageError;
  }
  if (values.count("help") > 0) {
    std::cout << description;
    return 0;
  }
  if (values.count("version") > 0) {
    std::cout << "fake-platform " << CICADADRUM_VERSION << "\n";
    return 0;
  }
  return leaf::try_handle_all([&] { return Run(values); },
                              [](const Error& error) {
                                std::cerr
                                    << "fake-platform: " << NameOf(error.code)
                                    << ": " << error.detail << "\n";
                                return 1;
                              },
                              [] { return 1; });
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  return cicadadrum::Main(argc, argv);
}
