// One process of cicadadrum-platform whose memory is measured.

#include "measured_entry.h"

#include <stdlib.h>

#include <fstream>

#include "cicadadrum/base/error.h"
#include "cicadadrum/loop/http_client.h"

namespace cicadadrum::platform {

namespace leaf = boost::leaf;

namespace {

constexpr Duration kPollInterval = Milliseconds(20);
constexpr Duration kStartTimeout = Seconds(20);

}  // namespace

leaf::result<std::string> MakeFolder() {
  char folder[] = "/tmp/cicadadrum-transfer-XXXXXX";
  if (mkdtemp(folder) == nullptr)
    return leaf::new_error(
        Error{ErrorCode::kFileUnreadable, "can't create a folder in /tmp"});
  return std::string(folder);
}

double ReadMemory(pid_t pid, const std::string& key) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  double kilobytes = 0;
  while (file >> word) {
    if (word == key + ":" && file >> kilobytes)
      break;
  }
  return kilobytes / 1000;
}

bool WaitUntil(EventLoop& loop,
               const std::function<bool()>& condition,
               Duration timeout) {
  const TimePoint end = loop.Now() + timeout;
  Timer timer(loop, [&loop] { loop.Stop(); });
  while (!condition() && loop.Now() < end) {
    timer.Schedule(loop.Now() + kPollInterval);
    loop.Run();
  }
  return condition();
}

MeasuredEntry::MeasuredEntry(EventLoop& event_loop,
                             const std::string& program,
                             const std::string& folder,
                             double memory_megabytes)
    : loop(event_loop),
      store(loop),
      fleet(loop, program, folder, store.address(), 1, memory_megabytes) {}

void MeasuredEntry::Start() {
  fleet.Start(process());
  HttpClient client(loop, {});
  bool ready = false;
  WaitUntil(
      loop,
      [&] {
        client.Send(process().readiness_address, {.target = "/readiness"},
                    loop.Now() + kPollInterval * 10,
                    [&](HttpOutcome, const HttpResponse& response) {
                      ready = ready || response.status == 200;
                    });
        return ready;
      },
      kStartTimeout);
}

}  // namespace cicadadrum::platform
