// Servers answer uploads early and read on later. The entry VMs no longer
// count the bodies that they still hold, and exceed their memory.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "watched.h"
#include "world.h"

namespace review {

namespace {

const std::vector<Zone> kZones = {{"cusco-a", "cusco"}, {"junin-a", "junin"}};

constexpr std::size_t kBodyBytes = 16'000'000;
constexpr int kUploaders = 14;
constexpr double kPeriodMs = 400;
constexpr int kDeadlineMs = 4000;
constexpr double kWaitMs = 6000;
// A server reads the rest of a body this long after its answer.
constexpr double kLaterMs = 3500;
constexpr double kIdleMs = 20'000;
// What the kernel of a server holds of a body.
constexpr int kReceiveBytes = 65'536;
constexpr int kServers = 8;
constexpr double kPlayMs = 25'000;
// The rule: on two machines, processes end by themselves three times.
constexpr int kEndsOfRule = 3;

// Answers an upload when its head is in, and reads its body later.
void ServeUploads(Stream& stream, const std::string& server, Record& record) {
  while (const auto head = stream.ReadHead(kIdleMs)) {
    if (head->target == "/health") {
      if (!stream.Write(Serialize("HTTP/1.1 200 OK",
                                  {{"Cicadadrum-Instance-Id", server},
                                   {"Cicadadrum-Server-Load", "0,0,8,100"}},
                                  "")))
        return;
      continue;
    }
    const std::string id = FieldOf(head->fields, "Cicadadrum-Request-Id");
    const auto size = static_cast<std::size_t>(
        std::atoll(FieldOf(head->fields, "Content-Length").c_str()));
    std::size_t left = size;
    const auto read_rest = [&] {
      while (left > 0) {
        const std::size_t count =
            stream.ReadSome(std::min<std::size_t>(left, 65'536), kIdleMs);
        if (count == 0)
          return false;
        left -= count;
      }
      return true;
    };
    if (!HasTrouble() && !read_rest())
      return;
    record.Write("server " + server + " runs " + id);
    if (!stream.Write(Serialize("HTTP/1.1 200 OK",
                                {{"Cicadadrum-Request-Id", id},
                                 {"Cicadadrum-Response-Seal", "seal." + id},
                                 {"Cicadadrum-Server-Load", "0,0,8,100"}},
                                "stored " + id)))
      return;
    if (HasTrouble())
      SleepMs(kLaterMs);
    if (!read_rest())
      return;
  }
}

struct Counts {
  std::atomic<int> sent = 0;
  std::atomic<int> stored = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> without_answer = 0;
};

void Upload(const Entry& entry,
            int number,
            double until,
            Counts& counts,
            Record& record) {
  const std::string body(kBodyBytes, 'u');
  for (int i = 0; NowMs() < until; ++i) {
    const double next = NowMs() + kPeriodMs;
    const std::string id = entry.name() + "-upload-" + std::to_string(number) +
                           "-" + std::to_string(i);
    const int fd = Connect(entry.caller_address(), 1000);
    if (fd >= 0) {
      Stream stream(fd);
      ++counts.sent;
      const bool is_written = stream.Write(Serialize(
          "POST /upload/" + id + " HTTP/1.1",
          {{"Host", kHost},
           {"Cicadadrum-Request-Id", id},
           {"Cicadadrum-Request-Deadline-Ms", std::to_string(kDeadlineMs)}},
          body));
      const auto answer =
          is_written ? stream.ReadMessage(kWaitMs) : std::nullopt;
      const int status = answer ? answer->status : 0;
      counts.stored += status == 200 ? 1 : 0;
      counts.refused += status == 503 ? 1 : 0;
      counts.without_answer += status == 0 ? 1 : 0;
      record.Write("answer " + id + " status " + std::to_string(status));
    }
    SleepUntilMs(next);
  }
}

int Run(Place& place, Record& record) {
  Store store({place.Ip(1), place.port_base()});
  store.Put("op", "config",
            ConfigurationBody({{.name = "r1",
                                .prefix = "/upload/",
                                .kind = "upload",
                                .timeout_ms = kDeadlineMs}},
                              {}));
  std::vector<std::unique_ptr<Listener>> servers;
  std::map<std::string, std::string> rows;
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "i-" + std::to_string(i);
    const Address address = {place.Ip(20 + i), place.port_base() + 9};
    servers.push_back(std::make_unique<Listener>(
        address,
        [&record, id](Stream& stream) { ServeUploads(stream, id, record); },
        kReceiveBytes));
    rows[id] = "{\"service\":\"desk\",\"address\":\"" + address.text() +
               "\",\"failureDomain\":\"" +
               kZones[static_cast<std::size_t>(i) % 2].name +
               "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
               "\"coldLeftMilliseconds\":0,\"born\":" +
               std::to_string(UnixMs()) + ",\"sequence\":";
  }
  std::atomic<bool> is_over = false;
  std::thread beats([&] {
    for (int sequence = 1; !is_over; ++sequence) {
      for (const auto& [id, row] : rows)
        store.Put("servers", id, row + std::to_string(sequence) + "}");
      for (int i = 0; i < 75 && !is_over; ++i)
        SleepMs(20);
    }
  });
  const auto end = [&](int result) {
    is_over = true;
    beats.join();
    store.Stop();
    return result;
  };
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::string> seeds;
  for (int i = 0; i < 2; ++i) {
    const Zone& zone = kZones[static_cast<std::size_t>(i)];
    entries.push_back(std::make_unique<Entry>(
        "front-" + zone.name + "-1", zone, place.Ip(2 + i), place.port_base(),
        place.folder()));
    seeds.push_back(entries.back()->seed());
  }
  std::vector<std::unique_ptr<Watched>> watched;
  for (const auto& entry : entries) {
    entry->WriteSettings(store.address(), seeds, kZones);
    entry->Start();
    if (!entry->WaitUntilReady(10'000))
      return end(kNotRun);
    watched.push_back(std::make_unique<Watched>(*entry, record));
  }
  SleepMs(4000);
  Counts counts;
  const double until = NowMs() + kPlayMs;
  std::vector<std::thread> uploaders;
  for (const auto& entry : entries) {
    for (int i = 0; i < kUploaders; ++i)
      uploaders.emplace_back(
          [&, i] { Upload(*entry, i, until, counts, record); });
  }
  for (std::thread& uploader : uploaders)
    uploader.join();
  record.Tell("uploads sent: " + std::to_string(counts.sent) + ", stored " +
              std::to_string(counts.stored) + ", refused with 503 " +
              std::to_string(counts.refused) + ", without an answer " +
              std::to_string(counts.without_answer));
  int broken = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    record.Tell(entries[i]->name() + ": at most " +
                std::to_string(watched[i]->most_bytes() >> 20U) +
                " MB of 260, killed " + std::to_string(watched[i]->ends()) +
                " times");
    broken += watched[i]->ends() >= kEndsOfRule ? 1 : 0;
  }
  watched.clear();
  servers.clear();
  record.Tell(broken == 2 ? "Fault broken" : "Fault held");
  return end(broken == 2 ? kRuleBroken : kRuleHeld);
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc > 1 ? argv[1] : "record.txt", review::Run);
}
