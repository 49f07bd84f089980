// Stand-in of the platform's store.

#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace cicadadrum::review {

namespace {

constexpr milliseconds kAcceptWait(100);
constexpr milliseconds kIdleTime(500);

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = (group << 8) |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text.push_back(
          i + k <= bytes.size() ? kDigits[(group >> (18 - 6 * k)) & 63U] : '=');
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  std::size_t begin = target.find("?" + name + "=");
  if (begin == std::string::npos)
    begin = target.find("&" + name + "=");
  if (begin == std::string::npos)
    return {};
  begin += name.size() + 2;
  return target.substr(begin, target.find('&', begin) - begin);
}

std::uint64_t ToNumber(const std::string& text) {
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

Store::Store(const std::string& ip)
    : listener_(Listen(ip, 0)),
      address_(ip + ":" + std::to_string(PortOf(listener_))),
      accepting_([this] { AcceptConnections(); }) {}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  accepting_.join();
  for (std::thread& thread : serving_)
    thread.join();
}

void Store::Append(Change change) {
  {
    const std::lock_guard lock(mutex_);
    change.version = changes_.size() + 1;
    changes_.push_back(std::move(change));
  }
  changed_.notify_all();
}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  Append({.table = table, .key = key, .value = value});
}

void Store::Remove(const std::string& table, const std::string& key) {
  Append({.table = table, .key = key, .removed = true});
}

void Store::AcceptConnections() {
  for (;;) {
    Socket socket = Accept(listener_, kAcceptWait);
    const std::lock_guard lock(mutex_);
    if (stopping_)
      return;
    if (socket.is_open())
      serving_.emplace_back(
          [this](Socket accepted) { Serve(std::move(accepted)); },
          std::move(socket));
  }
}

void Store::Serve(Socket socket) {
  MessageReader reader(socket);
  while (!reader.ended()) {
    const Message request = reader.Read(Clock::now() + kIdleTime, false);
    if (request.complete) {
      if (!SendAll(socket, Serialize(Respond(request))))
        return;
      continue;
    }
    const std::lock_guard lock(mutex_);
    if (stopping_)
      return;
  }
}

Message Store::Respond(const Message& request) {
  const std::string target = request.target();
  const std::string table = QueryValue(target, "table");
  Message response{
      .start_line = "HTTP/1.1 200 OK",
      .headers = {{"Content-Type", "application/json"}, {"Store-Era", "1"}}};
  if (target.starts_with("/rows-get?"))
    response.body = RowsOf(table);
  else if (target.starts_with("/rows-feed?"))
    response.body =
        ChangesAfter(table, ToNumber(QueryValue(target, "after")),
                     milliseconds(ToNumber(QueryValue(target, "wait_ms"))));
  else
    response.start_line = "HTTP/1.1 404 Not Found";
  return response;
}

std::string Store::RowsOf(const std::string& table) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, const Change*> rows;
  for (const Change& change : changes_) {
    if (change.table == table)
      rows[change.key] = &change;
  }
  std::string json;
  for (const auto& [key, change] : rows) {
    if (change->removed)
      continue;
    json += (json.empty() ? "" : ",") + std::string(R"({"table":")") + table +
            R"(","part":"","key":")" + key + R"(","value":")" +
            EncodeBase64(change->value) + R"(","rowVersion":)" +
            std::to_string(change->version) + "}";
  }
  return R"({"rows":[)" + json + R"(],"hasMore":false,"rowVersion":)" +
         std::to_string(changes_.size()) + R"(,"now_ms":1})";
}

std::string Store::ChangesAfter(const std::string& table,
                                std::uint64_t after,
                                milliseconds wait) {
  std::unique_lock lock(mutex_);
  const auto has_changes = [&] {
    return stopping_ ||
           std::any_of(changes_.begin(), changes_.end(),
                       [&](const Change& change) {
                         return change.version > after && change.table == table;
                       });
  };
  changed_.wait_for(lock, wait, has_changes);
  std::string json;
  std::set<std::string> seen;
  for (auto change = changes_.rbegin(); change != changes_.rend(); ++change) {
    if (change->version <= after || change->table != table ||
        !seen.insert(change->key).second)
      continue;
    const std::string row =
        R"({"table":")" + table + R"(","part":"","key":")" + change->key +
        R"(","value":")" + EncodeBase64(change->value) + R"(","removed":)" +
        (change->removed ? "true" : "false") + R"(,"rowVersion":)" +
        std::to_string(change->version) + "}";
    json.insert(0, row + (json.empty() ? "" : ","));
  }
  return R"({"rows":[)" + json + R"(],"rowVersion":)" +
         std::to_string(changes_.size()) + R"(,"now_ms":1})";
}

}  // namespace cicadadrum::review
