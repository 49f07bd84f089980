// Shows how a program embeds the library LibSteering, which decides about
// requests, in an event loop that belongs to the program. The example reads
// events from a built-in list, or from standard input if any command-line
// argument is present, and prints the resulting actions. The example uses no
// socket, clock or codec of cicadadrum.
//
// Each input line is one event:
//   arrive ID CLASS [KEY]  A request arrives; KEY is its request key.
//   answer ID ATTEMPT      The backend server responds to the attempt.
//   lose ID ATTEMPT        The connection of the attempt is lost.
//   claim BATCH KEY        The store has inserted the claim of KEY.
//   wait SECONDS           The time advances.

#include <iostream>
#include <sstream>
#include <string>

#include "cicadadrum/steering/entry_state.h"

namespace {

using namespace cicadadrum;  // NOLINT: allowed in a program outside the
                             // library.

constexpr char kBuiltInEvents[] =
    "arrive 1 urgent\n"
    "answer 1 1\n"
    "arrive 2 write order-7\n"
    "claim 1 order-7\n"
    "lose 2 1\n"
    "arrive 3 write order-7\n";

Event ReadEvent(std::istringstream& words, TimePoint& now) {
  std::string kind;
  words >> kind;
  if (kind == "arrive") {
    RequestArrived arrived{.client_account = "account-1",
                           .service = "service-1",
                           .deadline = now + Seconds(5)};
    std::string request_class;
    words >> arrived.request >> request_class >> arrived.key;
    arrived.request_class =
        ParseName<RequestClass>(request_class).value_or(RequestClass::kRoutine);
    return arrived;
  }
  if (kind == "claim") {
    ClaimWriteCompleted written;
    ClaimWriteResult result{.outcome = ClaimWriteOutcome::kInserted};
    words >> written.batch >> result.key;
    written.results.push_back(result);
    return written;
  }
  if (kind == "answer" || kind == "lose") {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    words >> request >> attempt;
    if (kind == "answer")
      return BackendResponded{request, attempt, AttemptOutcome::kAnswered, {}};
    return BackendFailed{request, attempt, AttemptOutcome::kConnectionLost};
  }
  std::int64_t seconds = 0;
  words >> seconds;
  now += Seconds(seconds);
  return TimerExpired{};
}

void Print(const Action& action) {
  if (const auto* send = std::get_if<SendToBackend>(&action))
    std::cout << "  send request " << send->request << " attempt "
              << send->attempt << " to " << send->server << '\n';
  else if (const auto* answer = std::get_if<AnswerCaller>(&action))
    std::cout << "  answer request " << answer->request << ": "
              << NameOf(answer->verdict) << '\n';
  else if (const auto* write = std::get_if<WriteClaims>(&action))
    std::cout << "  write claims, batch " << write->batch << '\n';
}

}  // namespace

int main(int argc, char** /*argv*/) {
  EntryState state =
      MakeEntryState({}, {.name = "entry-1", .region = "region-1"}, {1, 2}, 1);
  TimePoint now{};
  Actions actions;
  const Plan plan{.name = "plan-1",
                  .services = {"service-1"},
                  .classes = {RequestClass::kUrgent, RequestClass::kWrite},
                  .regions = {"region-1"}};
  Step(state,
       ConfigurationAdopted{{.version = 1,
                             .client_accounts = {{"account-1", "plan-1"}},
                             .plans = {plan}}},
       now, actions);
  Step(state,
       ServersChanged{{{.name = "server-1",
                        .service = "service-1",
                        .region = "region-1",
                        .address = "192.0.2.1:80",
                        .slots = 3}}},
       now, actions);
  std::istringstream built_in(kBuiltInEvents);
  std::istream& input = argc > 1 ? std::cin : built_in;
  for (std::string line; std::getline(input, line);) {
    std::istringstream words(line);
    actions.clear();
    Step(state, ReadEvent(words, now), now, actions);
    std::cout << line << '\n';
    for (const Action& action : actions)
      Print(action);
  }
  return 0;
}
