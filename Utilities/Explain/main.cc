// cicadadrum-explain: prints the timeline of a request from the logs of the
// entry VMs.

#include <fstream>
#include <iostream>

#include "cicadadrum/explain/explain.h"
#include "cicadadrum/program/program.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

po::options_description Options() {
  po::options_description options("Options");
  options.add_options()("request", po::value<std::string>(),
                        "id of the request; by default, print record counts")(
      "log", po::value<std::vector<std::string>>(),
      "log files; by default standard input");
  return options;
}

leaf::result<std::vector<LogRecord>> ReadLogs(const po::variables_map& values) {
  if (!values.contains("log"))
    return ReadLog(std::cin);
  std::vector<LogRecord> records;
  for (const auto& path : values["log"].as<std::vector<std::string>>()) {
    std::ifstream file(path);
    if (!file)
      return leaf::new_error(
          Error{ErrorCode::kFileUnreadable, path + ": can't be read"});
    std::vector<LogRecord> file_records = ReadLog(file);
    records.insert(records.end(), file_records.begin(), file_records.end());
  }
  return records;
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  BOOST_LEAF_AUTO(records, ReadLogs(values));
  if (!values.contains("request")) {
    for (const auto& [name, count] : CountRecords(records))
      std::cout << count << " " << name << "\n";
    return ExitCode::kSuccess;
  }
  const std::string request = values["request"].as<std::string>();
  const RequestTimeline timeline = ExplainRequest(records, request);
  if (timeline.steps.empty()) {
    std::cout << "no record names request " << request
              << "; a lines-dropped record shows whether records are "
                 "missing\n";
    return ExitCode::kFailure;
  }
  std::cout << "request " << request << ": " << timeline.cause << "\n\nsteps\n";
  for (const LogRecord& step : timeline.steps)
    std::cout << "  " << FormatRecord(step) << "\n";
  std::cout << "\nlast known state of " << timeline.steps.back().entry << "\n";
  for (const LogRecord& record : timeline.known_state)
    std::cout << "  " << FormatRecord(record) << "\n";
  return ExitCode::kSuccess;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  const cicadadrum::ProgramInfo info{
      "cicadadrum-explain", "prints the timeline of a request from logs"};
  boost::program_options::positional_options_description positional;
  positional.add("request", 1).add("log", -1);
  const auto parsed = cicadadrum::ParseCommandLine(info, cicadadrum::Options(),
                                                   positional, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(info,
                                [&] { return cicadadrum::Run(parsed.values); });
}
