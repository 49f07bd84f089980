// One request crashes each server that begins to run it, and comes again. The
// entry VMs have to stop passing it on, because each crash also ends the work
// of other callers at that server.

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "../stand_ins/deployment.h"

namespace cicadadrum::review {

namespace {

constexpr const char* kCrashingTarget = "/lookup/v7";
constexpr int kServers = 6;
constexpr std::size_t kVms = 3;
constexpr int kRepeats = 20;
constexpr milliseconds kRepeatGap(2500);
constexpr milliseconds kDeadline(3000);
constexpr milliseconds kWorkTime(60);
constexpr std::size_t kCrashesAllowed = 3;
constexpr int kRetriesAllowed = 3;
// Ordinary callers at each VM, and the time between two requests of one.
constexpr int kCallersPerVm = 3;
constexpr milliseconds kCallerGap(60);

// Ordinary work that is not idempotent, on kept connections.
class OrdinaryCallers {
 public:
  OrdinaryCallers(Deployment& deployment, Record& record)
      : deployment_(deployment), record_(record) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      for (int caller = 0; caller < kCallersPerVm; ++caller)
        threads_.emplace_back([this, vm, caller] { Run(vm, caller); });
    }
  }

  void Stop() {
    stopping_ = true;
    for (std::thread& thread : threads_)
      thread.join();
    threads_.clear();
  }

  int sent() const { return sent_; }
  int lost() const { return lost_; }

 private:
  void Run(std::size_t vm, int caller) {
    Socket socket;
    for (int number = 0; !stopping_; ++number) {
      if (!socket.is_open())
        socket = Connect(deployment_.VmIp(vm), deployment_.front_port());
      const std::string id = "issue-" + std::to_string(vm) + "-" +
                             std::to_string(caller) + "-" +
                             std::to_string(number);
      Message request = MakeRequest("POST", "/issue/" + id, id, kDeadline);
      request.headers.emplace_back(
          "Cookie", "Cicadadrum-Affinity-Key=" + std::to_string(number % 25));
      request.body = "voucher " + id;
      ++sent_;
      Message answer;
      if (socket.is_open() && SendAll(socket, Serialize(request)))
        answer = MessageReader(socket).Read(Clock::now() + kDeadline, true);
      if (answer.status() != 200) {
        ++lost_;
        record_.Write("ordinary caller gets '" + answer.start_line + "' for " +
                      id);
      }
      if (!answer.complete ||
          FindHeader(answer.headers, "Connection") == "close")
        socket.Close();
      std::this_thread::sleep_for(kCallerGap);
    }
  }

  Deployment& deployment_;
  Record& record_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> sent_ = 0;
  std::atomic<int> lost_ = 0;
  std::vector<std::thread> threads_;
};

// Sends the same request again and again, each time with an id of its own.
void RepeatRequest(Deployment& deployment, Record& record) {
  for (int i = 0; i < kRepeats; ++i) {
    const std::string id = "repeat-" + std::to_string(i);
    Message request = MakeRequest("GET", kCrashingTarget, id, kDeadline);
    request.headers.emplace_back("Cookie", "Cicadadrum-Affinity-Key=7");
    const std::size_t vm = static_cast<std::size_t>(i) % kVms;
    record.Write("caller sends " + id + " to vm " + std::to_string(vm));
    const Message answer =
        Call(deployment.VmIp(vm), deployment.front_port(), request, kDeadline);
    record.Write("caller gets '" + answer.start_line + "' for " + id);
    std::this_thread::sleep_for(kRepeatGap);
  }
}

struct Count {
  std::size_t crashes = 0;
  int late_arrivals = 0;
  int late_retries = 0;  // Arrivals beyond the first one of a request.
};

// Counts what reached servers later than the stable window after the third
// crash.
Count CountRepeats(const std::vector<ServerRun>& runs) {
  Count count;
  Clock::time_point third_crash;
  std::map<std::string, int> arrivals;
  for (const ServerRun& run : runs) {
    if (run.target != kCrashingTarget)
      continue;
    const bool is_retry = ++arrivals[run.request_id] > 1;
    if (count.crashes >= kCrashesAllowed &&
        run.at > third_crash + kStableWindow) {
      ++count.late_arrivals;
      count.late_retries += is_retry ? 1 : 0;
    }
    if (++count.crashes == kCrashesAllowed)
      third_crash = run.at + kWorkTime;
  }
  return count;
}

int Run() {
  Record record("review/2/record.txt");
  Deployment deployment(record);
  const auto answer = [](const Message& request) {
    const bool crashes = IsTroubled() && request.target() == kCrashingTarget;
    return ServerAction{.work = kWorkTime, .crashes = crashes};
  };
  for (int i = 0; i < kServers; ++i)
    deployment.AddServer("lookup-svc", "hobart-a", answer);
  deployment.PutConfiguration(7, {{.name = "lookup",
                                   .prefix = "/lookup/",
                                   .kind = "safe",
                                   .service = "lookup-svc"},
                                  {.name = "issue",
                                   .prefix = "/issue/",
                                   .kind = "unsafe",
                                   .service = "lookup-svc"}});
  for (std::size_t i = 0; i < kVms; ++i)
    deployment.AddVm({.name = "front-" + std::to_string(i),
                      .region = "hobart",
                      .failure_domain = "hobart-a"});
  for (std::size_t i = 0; i < kVms; ++i)
    deployment.StartVm(i);
  if (!deployment.WaitUntilReady()) {
    record.Conclude("the deployment did not become ready");
    return kCouldNotRun;
  }
  OrdinaryCallers callers(deployment, record);
  std::this_thread::sleep_for(kRepeatGap);
  RepeatRequest(deployment, record);
  callers.Stop();
  if (!IsTroubled()) {
    record.Conclude(
        "ordinary requests sent: " + std::to_string(callers.sent()) +
        ", not served: " + std::to_string(callers.lost()));
    return kRuleHeld;
  }
  const Count count = CountRepeats(deployment.Runs());
  record.Conclude(
      "crashes: " + std::to_string(count.crashes) +
      ", arrivals later than the stable window after the third crash: " +
      std::to_string(count.late_arrivals) +
      ", of these retries of the entry VM: " +
      std::to_string(count.late_retries) +
      "; ordinary requests sent: " + std::to_string(callers.sent()) +
      ", not served: " + std::to_string(callers.lost()));
  if (count.crashes < kCrashesAllowed)
    return kCouldNotRun;
  return count.late_retries > kRetriesAllowed ? kRuleBroken : kRuleHeld;
}

}  // namespace

}  // namespace cicadadrum::review

int main() {
  return cicadadrum::review::Run();
}
