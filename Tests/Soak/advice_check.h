// Checks that entry VMs follow what servers announce in their responses.

#ifndef CICADADRUM_TESTS_SOAK_ADVICE_CHECK_H_
#define CICADADRUM_TESTS_SOAK_ADVICE_CHECK_H_

#include <string>
#include <vector>

#include "callers.h"
#include "fault_proxy.h"
#include "fleet.h"
#include "stand_ins.h"

namespace cicadadrum::platform {

// A change of the link between the entry VMs and a server.
struct LinkChange {
  TimePoint at;
  ProxyMode mode = ProxyMode::kPass;
};

// A server and the history of its link, which passes everything at first.
struct ObservedServer {
  const ServerStandIn& server;
  const std::vector<LinkChange>& link_changes;
};

// Appends a description of each request that the server received from an entry
// VM to which it had announced that it is leaving, and of each pause in which
// it received more requests than are allowed. A start or signal of the entry VM
// excuses both, a change of the server's link a pause.
void AppendAdviceProblems(const ObservedServer& observed,
                          const std::vector<EntryProcess>& entries,
                          const CallerRecord& callers,
                          std::vector<std::string>& problems);

}  // namespace cicadadrum::platform

#endif  // CICADADRUM_TESTS_SOAK_ADVICE_CHECK_H_
