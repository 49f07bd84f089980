// fake-platform: stands in for the platform's table service, object store and
// VM list, in memory.

#include <capnp/message.h>

#include <csignal>
#include <iostream>
#include <map>

#include "cicadadrum/configuration/json.h"
#include "cicadadrum/loop/event_loop.h"
#include "cicadadrum/loop/http_server.h"
#include "cicadadrum/program/program.h"
#include "schemas/store.capnp.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;
namespace po = boost::program_options;

struct Row {
  std::string value;
  std::uint64_t version = 0;
};

struct PlatformState {
  std::map<std::string, Row> rows;
  std::map<std::string, std::string> objects;
  std::string vms;
};

HttpResponse Json(std::string body) {
  return {.headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

void WriteRow(schema::Row::Builder target,
              const std::string& key,
              const Row& row) {
  target.setKey(key);
  target.setValue(row.value);
  target.setVersion(row.version);
}

HttpResponse Transact(PlatformState& state, const HttpRequest& request) {
  capnp::MallocMessageBuilder message;
  const auto transaction = DecodeJsonAs<schema::Transaction>(
      request.body, "transaction", ErrorCode::kInvalidMessage, message);
  if (!transaction)
    return {.status = 400, .body = "malformed\n"};
  capnp::MallocMessageBuilder answer_message;
  auto answer = answer_message.initRoot<schema::TransactionAnswer>();
  for (const auto check : transaction->getChecks()) {
    const Row row = state.rows[check.getKey()];
    if (row.version == check.getVersion())
      continue;
    WriteRow(answer.initRows(1)[0], check.getKey(), row);
    return Json(EncodeJson(answer.asReader()));
  }
  answer.setCommitted(true);
  auto rows = answer.initRows(transaction->getWrites().size());
  unsigned next = 0;
  for (const auto write : transaction->getWrites()) {
    Row& row = state.rows[write.getKey()];
    if (!write.getCheck() || write.getCheckVersion() == row.version)
      row = {write.getValue(), row.version + 1};
    WriteRow(rows[next++], write.getKey(), row);
  }
  return Json(EncodeJson(answer.asReader()));
}

HttpResponse Handle(PlatformState& state, const HttpRequest& request) {
  if (request.path == "/vms")
    return Json(state.vms);
  if (request.path == "/table/transact")
    return Transact(state, request);
  if (request.path == "/table/row") {
    const std::string key(FindField(request.query, "key"));
    capnp::MallocMessageBuilder message;
    auto row = message.initRoot<schema::Row>();
    WriteRow(row, key, state.rows[key]);
    return Json(EncodeJson(row.asReader()));
  }
  if (request.path == "/table/scan") {
    const std::string prefix(FindField(request.query, "prefix"));
    std::vector<std::pair<std::string, Row>> found;
    for (const auto& [key, row] : state.rows) {
      if (key.starts_with(prefix) && row.version > 0)
        found.emplace_back(key, row);
    }
    capnp::MallocMessageBuilder message;
    auto list = message.initRoot<schema::RowList>().initRows(
        static_cast<unsigned>(found.size()));
    for (unsigned i = 0; i < list.size(); ++i)
      WriteRow(list[i], found[i].first, found[i].second);
    return Json(EncodeJson(message.getRoot<schema::RowList>().asReader()));
  }
  if (request.path.starts_with("/objects/")) {
    if (request.method == HttpMethod::kPut)
      state.objects[request.path] = request.body;
    const auto found = state.objects.find(request.path);
    if (found != state.objects.end())
      return Json(found->second);
  }
  return {.status = 404, .body = "not found\n"};
}

leaf::result<ExitCode> Run(const po::variables_map& values) {
  PlatformState state;
  BOOST_LEAF_ASSIGN(state.vms, ReadFile(values["vms"].as<std::string>()));
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      loop, HttpServerOptions{},
      [&](std::uint64_t id, const HttpRequest& request) {
        server->Respond(id, Handle(state, request));
      },
      [](std::uint64_t) {});
  BOOST_LEAF_CHECK(server->Listen(values["listen"].as<std::string>()));
  const SignalWatcher on_term(loop, SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return ExitCode::kSuccess;
}

}  // namespace

}  // namespace cicadadrum

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  const cicadadrum::ProgramInfo info{"fake-platform",
                                     "stands in for the platform"};
  po::options_description options("Options");
  options.add_options()("vms", po::value<std::string>()->required(),
                        "VM list, JSON with comments");
  options.add_options()("listen", po::value<std::string>()->required(),
                        "IP:port");
  const auto parsed =
      cicadadrum::ParseCommandLine(info, options, {}, argc, argv);
  if (parsed.exit)
    return static_cast<int>(*parsed.exit);
  return cicadadrum::RunProgram(info,
                                [&] { return cicadadrum::Run(parsed.values); });
}
