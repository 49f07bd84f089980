// The entries of the servers lapse while the store is away, and are back soon
// after it: do the entry VMs serve again?

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../stand_ins-2/deployment.h"

namespace review {

namespace {

constexpr std::size_t kEntries = 9;
constexpr int kServers = 4;
// The store goes away soon after it has answered the entry VM that reads for
// the others (the reader). It is back for this one first.
constexpr Milliseconds kAwayAfterAnswer{50};
constexpr Milliseconds kAwayTime{4780};
constexpr Milliseconds kMinAwayTimeOfOthers{5080};
constexpr Milliseconds kOthersAfterReader{30};
// A store removes an entry after three heartbeats of 1.5 s without a write; the
// last write was before the store went away.
constexpr Milliseconds kLapseTime{4600};
// The heartbeats of the servers come after the others have asked again, and
// before the reader does. Entries are back within two seconds.
constexpr Milliseconds kBackAfterOthers{520};
constexpr Milliseconds kMaxBackAfterReader{750};
// Callers ask all the while.
constexpr Milliseconds kCalmTime{4000};
constexpr Milliseconds kTimeAfter{75'000};
constexpr int kCallers = 18;
constexpr Milliseconds kCallerGap{1000};
constexpr int kDeadlineMs = 2000;
// A caller waits as a refusal says, but for at most a third of its time.
constexpr Milliseconds kMaxRetryWait{kDeadlineMs / 3};
// The bound of the rule, in percent of the requests.
constexpr int kMaxUnserved = 60;

// A request is one attempt of a caller.
struct Counts {
  std::atomic<int> requests = 0;
  std::atomic<int> unserved_requests = 0;
  std::atomic<int> calls = 0;  // With their retries.
  std::atomic<int> unserved_calls = 0;
};

// Returns the status, or 0 without an answer. Sets how long the caller waits
// before it asks elsewhere.
int Ask(const Entry& entry, const std::string& id, Milliseconds& retry_wait) {
  retry_wait = Milliseconds(0);
  Stream stream = Stream::Connect(entry.callers);
  if (!stream.IsOpen() ||
      !stream.Send(RequestText("GET", "/read/sign", id, kDeadlineMs, "")))
    return 0;
  const Received received =
      stream.Read(Clock::now() + Milliseconds(kDeadlineMs));
  const double seconds = std::strtod(
      FindField(received.message.fields, "Retry-After").c_str(), nullptr);
  retry_wait = std::min(
      kMaxRetryWait, Milliseconds(static_cast<std::int64_t>(seconds * 1000)));
  return received.Status();
}

// Asks at a random entry VM, and once more at another one if that fails.
void AskOften(Deployment& deployment,
              int caller,
              const std::atomic<bool>& has_ended,
              Counts& counts) {
  std::minstd_rand random(static_cast<unsigned>(caller) + 1);
  auto next = Clock::now() + kCallerGap * caller / kCallers;
  for (int i = 0; !has_ended; ++i) {
    std::this_thread::sleep_until(next);
    next += kCallerGap;
    const std::string id =
        "caller-" + std::to_string(caller) + "-" + std::to_string(i);
    const std::size_t first = random() % kEntries;
    const std::size_t second =
        (first + 1 + random() % (kEntries - 1)) % kEntries;
    Milliseconds retry_wait{0};
    bool is_served = Ask(deployment.entry(first), id, retry_wait) == 200;
    ++counts.requests;
    if (!is_served) {
      ++counts.unserved_requests;
      std::this_thread::sleep_for(retry_wait);
      is_served =
          Ask(deployment.entry(second), id + "-again", retry_wait) == 200;
      ++counts.requests;
      counts.unserved_requests += is_served ? 0 : 1;
    }
    ++counts.calls;
    counts.unserved_calls += is_served ? 0 : 1;
  }
}

void RecordServing(Deployment& deployment,
                   const std::string& when,
                   Record& record) {
  std::string line = when + ", answers of the entry VMs:";
  Milliseconds retry_wait{0};
  for (std::size_t i = 0; i < kEntries; ++i)
    line +=
        " " + std::to_string(Ask(deployment.entry(i),
                                 when + "-" + std::to_string(i), retry_wait));
  record.Line(line);
}

void SetAway(Deployment& deployment, std::size_t except, bool is_away) {
  for (std::size_t i = 0; i < kEntries; ++i) {
    if (i != except)
      deployment.store().SetAway(i, is_away);
  }
}

// The entries lapse while the store is away, and the next heartbeats of the
// servers write them again.
void LoseStore(Deployment& deployment, bool has_trouble, Record& record) {
  const std::size_t reader = deployment.store().WaitForAnswer("servers");
  std::this_thread::sleep_for(kAwayAfterAnswer);
  const auto away_at = Clock::now();
  if (!has_trouble)
    return;
  SetAway(deployment, kEntries, true);
  record.Line("the store is away");
  std::this_thread::sleep_until(away_at + kLapseTime);
  for (int i = 0; i < kServers; ++i)
    deployment.store().Remove("servers", "i-0000000" + std::to_string(i));
  record.Line("the entries of the servers have lapsed");
  std::this_thread::sleep_until(away_at + kAwayTime);
  deployment.store().SetAway(reader, false);
  deployment.store().WaitForAnswer("servers");
  const auto reader_at = Clock::now();
  record.Line("the store is back for " + deployment.entry(reader).name);
  const auto others_at =
      std::max(away_at + kMinAwayTimeOfOthers, reader_at + kOthersAfterReader);
  std::this_thread::sleep_until(others_at);
  SetAway(deployment, kEntries, false);
  record.Line("the store is back for all");
  std::this_thread::sleep_until(
      std::min(others_at + kBackAfterOthers, reader_at + kMaxBackAfterReader));
  deployment.PutServers();
  record.Line("the entries of the servers are back");
}

[[noreturn]] void Run(const std::string& folder, bool has_trouble) {
  Record record(Variable("RECORD", folder + "/record.txt"));
  Deployment deployment(
      {.folder = folder, .entries = kEntries, .servers = kServers}, record);
  if (!deployment.WaitUntilReady()) {
    record.Line("the entry VMs are not ready");
    deployment.Finish(2);
  }
  std::this_thread::sleep_for(kCalmTime);
  RecordServing(deployment, "before", record);
  Counts counts;
  std::atomic<bool> has_ended = false;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back(AskOften, std::ref(deployment), i,
                         std::cref(has_ended), std::ref(counts));
  std::this_thread::sleep_for(kCalmTime);
  LoseStore(deployment, has_trouble, record);
  std::this_thread::sleep_for(kTimeAfter / 2);
  RecordServing(deployment, "later", record);
  std::this_thread::sleep_for(kTimeAfter / 2);
  has_ended = true;
  for (std::thread& caller : callers)
    caller.join();
  RecordServing(deployment, "end", record);
  const int percent =
      100 * counts.unserved_requests / std::max(1, counts.requests.load());
  record.Line("callers' calls " + std::to_string(counts.calls) +
              ", not served after a retry " +
              std::to_string(counts.unserved_calls));
  record.Line("requests " + std::to_string(counts.requests) +
              ", refused or failed " +
              std::to_string(counts.unserved_requests) + ", " +
              std::to_string(percent) + " in 100, allowed " +
              std::to_string(kMaxUnserved));
  deployment.Finish(percent > kMaxUnserved ? 1 : 0);
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2)
    return 2;
  review::Run(argv[1], review::Variable("TROUBLE", "1") != "0");
}
