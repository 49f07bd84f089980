// Sends operator commands to entry VMs and prints the results.

#include "entries.h"

#include <capnp/message.h>

#include <iomanip>
#include <iostream>
#include <map>

#include "cicadadrum/base/error.h"
#include "cicadadrum/configuration/json.h"
#include "cicadadrum/loop/http_fetch.h"
#include "schemas/http.capnp.h"

namespace cicadadrum {

namespace leaf = boost::leaf;

namespace {

constexpr Duration kCallTimeout = Seconds(3);
constexpr int kNameWidth = 20;
constexpr int kColumnWidth = 12;

struct RegionLoad {
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
};

struct StatusSummary {
  std::map<std::string, RegionLoad> regions;
  std::map<std::string, std::uint32_t>
      in_flight_by_leaving_server;  // Requests in progress on each leaving
                                    // server.
  std::size_t reachable_entries = 0;
};

void PrintEntry(const EntryVm& entry,
                const HttpCall& call,
                StatusSummary& summary) {
  std::cout << std::left << std::setw(kNameWidth) << entry.name
            << std::setw(kColumnWidth) << entry.region;
  capnp::MallocMessageBuilder message;
  const auto status = DecodeJsonAs<schema::EntryStatus>(
      call.response.body, entry.name, ErrorCode::kInvalidMessage, message);
  if (call.outcome != HttpOutcome::kAnswered || !status) {
    std::cout << NameOf(call.outcome) << '\n';
    return;
  }
  ++summary.reachable_entries;
  std::cout << std::setw(kColumnWidth)
            << (status->getReady() ? "ready" : "not ready")
            << std::setw(kColumnWidth) << status->getConfigurationVersion()
            << std::setw(kColumnWidth) << status->getMembers().size()
            << status->getRequestsInProgress() << '\n';
  for (const auto server : status->getPools()) {
    RegionLoad& load = summary.regions[server.getRegion()];
    load.slots += server.getSlots();
    load.in_flight += server.getInFlight();
    if (std::string_view(server.getState().cStr()) == "leaving")
      summary.in_flight_by_leaving_server[server.getName()] +=
          server.getInFlight();
  }
}

}  // namespace

leaf::result<void> ChangeLeavingMark(EventLoop& loop,
                                     const Deployment& deployment,
                                     const std::string& server,
                                     bool leaving) {
  capnp::MallocMessageBuilder message;
  auto mark = message.initRoot<schema::MarkLeaving>();
  mark.setServer(server);
  mark.setLeaving(leaving);
  const std::string body = EncodeJson(mark.asReader());
  for (const EntryVm& entry : deployment.entries) {
    const HttpCall call = Fetch(loop,
                                {.address = entry.caller_address,
                                 .request = {.method = HttpMethod::kPost,
                                             .target = "/v1/leaving",
                                             .body = body}},
                                kCallTimeout);
    if (call.outcome != HttpOutcome::kAnswered)
      continue;
    if (call.response.status != 200)
      return leaf::new_error(Error{
          ErrorCode::kUnavailable,
          entry.name + " refused the leaving mark: " + call.response.body});
    capnp::MallocMessageBuilder answer_message;
    BOOST_LEAF_AUTO(answer, DecodeJsonAs<schema::MarkAnswer>(
                                call.response.body, entry.name,
                                ErrorCode::kInvalidMessage, answer_message));
    std::cout << server
              << (leaving ? " is marked as leaving"
                          : " is no longer marked as leaving")
              << " by " << entry.name
              << (answer.getRecordedInTable()
                      ? " and in the table\n"
                      : "; the table has not recorded it yet\n");
    return {};
  }
  return leaf::new_error(
      Error{ErrorCode::kUnavailable, "no entry VM responds"});
}

leaf::result<void> PrintStatus(EventLoop& loop, const Deployment& deployment) {
  std::vector<HttpCall> calls;
  for (const EntryVm& entry : deployment.entries)
    calls.push_back(
        {.address = entry.caller_address, .request = {.target = "/v1/status"}});
  FetchAll(loop, calls, kCallTimeout);
  std::cout << std::left << std::setw(kNameWidth) << "entry VM"
            << std::setw(kColumnWidth) << "region" << std::setw(kColumnWidth)
            << "state" << std::setw(kColumnWidth) << "version"
            << std::setw(kColumnWidth) << "members"
            << "in progress\n";
  StatusSummary summary;
  for (std::size_t i = 0; i < calls.size(); ++i)
    PrintEntry(deployment.entries[i], calls[i], summary);
  for (const auto& [region, load] : summary.regions)
    std::cout << "region " << region << ": " << load.in_flight << " of "
              << load.slots << " slots in use\n";
  for (const auto& [server, in_flight] : summary.in_flight_by_leaving_server) {
    std::cout << "leaving " << server << ": "
              << (in_flight == 0
                      ? "empty"
                      : std::to_string(in_flight) + " requests in progress")
              << '\n';
  }
  if (summary.reachable_entries == 0)
    return leaf::new_error(
        Error{ErrorCode::kUnavailable, "no entry VM responds"});
  return {};
}

}  // namespace cicadadrum
