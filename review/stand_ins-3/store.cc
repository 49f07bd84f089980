// The store's rows and their feed.

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "world.h"

namespace review {

namespace {

constexpr double kIdleMs = 60'000;

std::string EncodeBase64(const std::string& bytes) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8U |
              (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text.push_back(k <= count ? kDigits[group >> (18 - 6 * k) & 63U] : '=');
  }
  return text;
}

std::string ParameterOf(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  std::size_t at = query;
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string pair = target.substr(begin, at - begin);
    if (pair.starts_with(name + "="))
      return pair.substr(name.size() + 1);
  }
  return {};
}

}  // namespace

Store::Store(const Address& address)
    : listener_(address, [this](Stream& stream) { Serve(stream); }) {}

void Store::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  changed_.notify_all();
  listener_.Stop();
}

double Store::Change(Row row) {
  double at = 0;
  {
    const std::lock_guard lock(mutex_);
    row.version = ++version_;
    rows_[{row.table, row.key}] = row;
    at = NowMs();
  }
  changed_.notify_all();
  return at;
}

double Store::Put(const std::string& table,
                  const std::string& key,
                  const std::string& value) {
  return Change({.table = table, .key = key, .value = value});
}

double Store::Remove(const std::string& table, const std::string& key) {
  return Change({.table = table, .key = key, .value = {}, .is_removed = true});
}

void Store::Serve(Stream& stream) {
  while (const auto request = stream.ReadMessage(kIdleMs)) {
    const std::string table = ParameterOf(request->target, "table");
    std::string body;
    if (request->target.starts_with("/rows-get")) {
      body = Read(table);
    } else if (request->target.starts_with("/rows-feed")) {
      const std::string after = ParameterOf(request->target, "after");
      const std::string wait = ParameterOf(request->target, "wait_ms");
      body = Feed(table, std::strtoull(after.c_str(), nullptr, 10),
                  std::strtod(wait.c_str(), nullptr));
    }
    const std::string status =
        body.empty() ? "HTTP/1.1 404 Not Found" : "HTTP/1.1 200 OK";
    if (!stream.Write(Serialize(
            status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
            body)))
      return;
  }
}

std::string Store::RowsJson(const std::vector<const Row*>& rows) {
  std::string json;
  for (const Row* row : rows) {
    json +=
        (json.empty() ? "" : ",") + std::string("{\"table\":\"") + row->table +
        "\",\"part\":\"\",\"key\":\"" + row->key +
        "\",\"rowVersion\":" + std::to_string(row->version) +
        (row->is_removed ? std::string(",\"removed\":true}")
                         : ",\"value\":\"" + EncodeBase64(row->value) + "\"}");
  }
  return "{\"rows\":[" + json + "],\"hasMore\":false";
}

std::string Store::Read(const std::string& table) {
  const std::lock_guard lock(mutex_);
  std::vector<const Row*> rows;
  for (const auto& [name, row] : rows_) {
    if (row.table == table && !row.is_removed)
      rows.push_back(&row);
  }
  return RowsJson(rows) + ",\"rowVersion\":" + std::to_string(version_) +
         ",\"now_ms\":" + std::to_string(static_cast<long>(NowMs())) + "}";
}

std::string Store::Feed(const std::string& table,
                        std::uint64_t after,
                        double wait_ms) {
  std::unique_lock lock(mutex_);
  std::vector<const Row*> rows;
  const auto has_changes = [&] {
    rows.clear();
    for (const auto& [name, row] : rows_) {
      if (row.table == table && row.version > after)
        rows.push_back(&row);
    }
    return is_stopped_ || !rows.empty();
  };
  changed_.wait_for(lock, std::chrono::duration<double, std::milli>(wait_ms),
                    has_changes);
  std::ranges::sort(rows, {}, &Row::version);
  return RowsJson(rows) + ",\"rowVersion\":" + std::to_string(version_) +
         ",\"now_ms\":" + std::to_string(static_cast<long>(NowMs())) + "}";
}

}  // namespace review
