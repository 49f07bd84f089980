// cicadadrum-call: sends one request or uploads one file with the caller
// library.

#include <csignal>
#include <iostream>

#include "cicadadrum/caller/caller.h"
#include "cicadadrum/configuration/json.h"
#include "cicadadrum/program/program.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

std::string StringOption(const po::variables_map& values, const char* name) {
  return values[name].as<std::string>();
}

ExitCode PrintAnswer(const CallerAnswer& answer) {
  std::cout << "verdict: " << NameOf(answer.verdict)
            << "\nstatus: " << answer.response.status
            << "\nattempts: " << answer.attempts << '\n';
  if (!answer.key.empty())
    std::cout << "key: " << answer.key << '\n';
  std::cout << '\n' << answer.response.body << '\n';
  if (answer.verdict == Verdict::kMayHaveRun)
    return ExitCode::kUncertain;
  return answer.verdict == Verdict::kRan ? ExitCode::kSuccess
                                         : ExitCode::kFailure;
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  const auto request_class =
      ParseName<RequestClass>(StringOption(values, "class"));
  const auto method = ParseName<HttpMethod>(StringOption(values, "method"));
  if (!request_class || !method)
    return leaf::new_error(Error{ErrorCode::kInvalidSettings,
                                 "--class or --method is unknown; see --help"});
  std::string body;
  if (!StringOption(values, "body-file").empty()) {
    BOOST_LEAF_ASSIGN(body, ReadFile(StringOption(values, "body-file")));
  }
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  Caller caller(
      loop, {.seed_addresses = values["entry"].as<std::vector<std::string>>(),
             .client_account = StringOption(values, "client-account"),
             .region = StringOption(values, "region")});
  const Duration deadline =
      Milliseconds(values["deadline-ms"].as<std::int64_t>());
  ExitCode code = ExitCode::kFailure;
  if (*request_class == RequestClass::kBulk) {
    caller.Upload(
        StringOption(values, "service"), StringOption(values, "target"),
        StringOption(values, "upload"), body, deadline,
        [&](const UploadAnswer& answer) {
          std::cout << "complete: " << (answer.complete ? "yes" : "no")
                    << "\nreceived: " << answer.received
                    << "\nparts: " << answer.parts
                    << "\nresumed: " << answer.offset_requests << '\n';
          code = answer.complete ? ExitCode::kSuccess : ExitCode::kUncertain;
          loop.Stop();
        });
  } else {
    const CallerRequest request{.service = StringOption(values, "service"),
                                .request_class = *request_class,
                                .method = *method,
                                .target = StringOption(values, "target"),
                                .body = body,
                                .deadline = deadline,
                                .key = StringOption(values, "key")};
    caller.Send(request, [&](const CallerAnswer& answer) {
      code = PrintAnswer(answer);
      loop.Stop();
    });
  }
  loop.Run();
  return code;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  using Text = std::string;
  const cicadadrum::ProgramInfo info{
      "cicadadrum-call",
      "sends one request, or uploads one file (--class bulk)"};
  po::options_description options("Options");
  options.add_options()("entry", po::value<std::vector<Text>>()->required(),
                        "entry VM, IP:port; may be repeated");
  options.add_options()("client-account", po::value<Text>()->required(),
                        "client account");
  options.add_options()("service", po::value<Text>()->required(), "service");
  options.add_options()("region", po::value<Text>()->default_value(""),
                        "the caller's region");
  options.add_options()("class", po::value<Text>()->default_value("routine"),
                        "urgent, routine, write or bulk");
  options.add_options()("method", po::value<Text>()->default_value("GET"),
                        "HTTP method");
  options.add_options()("target", po::value<Text>()->default_value("/"),
                        "path and query at the backend server");
  options.add_options()("body-file", po::value<Text>()->default_value(""),
                        "file with the body or the upload");
  options.add_options()("key", po::value<Text>()->default_value(""),
                        "request key, to repeat an earlier request");
  options.add_options()("upload", po::value<Text>()->default_value("upload"),
                        "name of the upload");
  options.add_options()("deadline-ms",
                        po::value<std::int64_t>()->default_value(10000),
                        "deadline in milliseconds");
  const auto parsed =
      cicadadrum::ParseCommandLine(info, options, {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(info,
                                [&] { return cicadadrum::Run(parsed.values); });
}
