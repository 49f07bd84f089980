// Program cicadadrumctl: the operator's command line tool.

#include <array>
#include <csignal>
#include <iostream>

#include "cicadadrum/configuration/json.h"
#include "cicadadrum/configuration/settings.h"
#include "cicadadrum/program/program.h"
#include "entries.h"
#include "lists.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

enum class Command : std::uint8_t {
  kShow,
  kValidate,
  kSubmit,
  kMarkLeaving,
  kUnmarkLeaving,
  kStatus
};

}  // namespace

template <>
struct EnumNames<Command> {
  static constexpr auto kTable = std::to_array<EnumName<Command>>({
      {Command::kShow, "show"},
      {Command::kValidate, "validate"},
      {Command::kSubmit, "submit"},
      {Command::kMarkLeaving, "mark-leaving"},
      {Command::kUnmarkLeaving, "unmark-leaving"},
      {Command::kStatus, "status"},
  });
};

namespace {

leaf::result<ExitCode> Show(EventLoop& loop, const Deployment& deployment) {
  BOOST_LEAF_AUTO(lists, ReadLists(loop, deployment));
  std::cout << "// version " << lists.version << '\n'
            << FormatConfiguration(lists) << '\n';
  return ExitCode::kSuccess;
}

leaf::result<Configuration> LoadLists(const Deployment& deployment,
                                      const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadFile(path));
  return ParseConfiguration(text, path, deployment);
}

leaf::result<ExitCode> Validate(const Deployment& deployment,
                                const std::string& path) {
  BOOST_LEAF_CHECK(LoadLists(deployment, path));
  std::cout << path << " is valid\n";
  return ExitCode::kSuccess;
}

leaf::result<ExitCode> Submit(EventLoop& loop,
                              const Deployment& deployment,
                              const po::variables_map& values) {
  BOOST_LEAF_AUTO(lists,
                  LoadLists(deployment, values["argument"].as<std::string>()));
  const auto base = values["base"].as<std::uint64_t>();
  BOOST_LEAF_AUTO(version, SubmitLists(loop, deployment, lists, base,
                                       values["author"].as<std::string>()));
  std::cout << "version " << version << " is accepted\n";
  return ExitCode::kSuccess;
}

leaf::result<ExitCode> Run(Command command, const po::variables_map& values) {
  BOOST_LEAF_AUTO(deployment,
                  LoadDeployment(values["settings"].as<std::string>()));
  const std::string argument = values["argument"].as<std::string>();
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  switch (command) {
    case Command::kShow:
      return Show(loop, deployment);
    case Command::kValidate:
      return Validate(deployment, argument);
    case Command::kSubmit:
      return Submit(loop, deployment, values);
    case Command::kMarkLeaving:
      BOOST_LEAF_CHECK(ChangeLeavingMark(loop, deployment, argument, true));
      return ExitCode::kSuccess;
    case Command::kUnmarkLeaving:
      BOOST_LEAF_CHECK(ChangeLeavingMark(loop, deployment, argument, false));
      return ExitCode::kSuccess;
    case Command::kStatus:
      BOOST_LEAF_CHECK(PrintStatus(loop, deployment));
      return ExitCode::kSuccess;
  }
  return ExitCode::kUsage;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  const cicadadrum::ProgramInfo info{
      "cicadadrumctl",
      "cicadadrumctl --settings DEPLOYMENT show | validate FILE | submit FILE "
      "--base VERSION | "
      "mark-leaving SERVER | unmark-leaving SERVER | status"};
  po::options_description options("Options");
  options.add_options()("settings", po::value<std::string>()->required(),
                        "deployment file, JSON with comments");
  options.add_options()(
      "base", po::value<std::uint64_t>()->default_value(0),
      "version of the configuration that the edit is based on");
  options.add_options()("author",
                        po::value<std::string>()->default_value("operator"),
                        "name that is recorded as the author of the edit");
  options.add_options()("command", po::value<std::string>()->required(),
                        "command to run");
  options.add_options()(
      "argument", po::value<std::string>()->default_value(""),
      "file or name of the server that the command applies to");
  po::positional_options_description positional;
  positional.add("command", 1).add("argument", 1);
  const auto parsed =
      cicadadrum::ParseCommandLine(info, options, positional, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  const auto command = cicadadrum::ParseName<cicadadrum::Command>(
      parsed.values["command"].as<std::string>());
  if (!command) {
    std::cerr << "cicadadrumctl: unknown command; see --help\n";
    return static_cast<int>(cicadadrum::ExitCode::kUsage);
  }
  return cicadadrum::RunProgram(
      info, [&] { return cicadadrum::Run(*command, parsed.values); });
}
