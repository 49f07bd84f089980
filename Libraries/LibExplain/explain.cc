// Parses structured logs and builds the timeline of a request.

#include "cicadadrum/explain/explain.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace cicadadrum {

namespace {

using Json = nlohmann::json;

// Explanations of the refusal reasons, for the reader of a timeline.
constexpr auto kRefusalCauses = std::to_array<
    std::pair<std::string_view, std::string_view>>({
    {"not-ready",
     "the entry VM had no configuration or no servers yet; see its store and "
     "member records"},
    {"configuration-outdated",
     "no source had confirmed the configuration lately, so the operators may "
     "have changed the route's home regions, the accounts or their keys; see "
     "key_confirmation_age_ms and the store records"},
    {"unknown-key",
     "no client account has the key of the request, or the request has none "
     "and its route is not public"},
    {"unreadable-account",
     "no readable client account has the key of the request, and the "
     "configuration has an account that is written for a later release"},
    {"no-route", "no route of the configuration in force matched the request"},
    {"no-server",
     "every server of the service was draining, evacuated, in back-off or "
     "cold"},
    {"overloaded",
     "even the server with the lowest cost could not have responded before "
     "the deadline"},
    {"rejected",
     "servers proved that they had not run the request, and no attempt or no "
     "retry budget remained"},
    {"unreachable", "no connection to a server could be established"},
    {"failed",
     "an attempt was sent and ended without a complete response that the "
     "server itself produced, so the request may have run"},
    {"timed-out",
     "the route's timeout or the caller's deadline expired before the server "
     "responded"},
    {"blocked", "identical requests had crashed several servers"},
    {"stopping", "the entry VM was being stopped"},
});

std::string ToText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string FieldOf(const LogRecord& record, const std::string& name) {
  const auto found = record.fields.find(name);
  return found == record.fields.end() ? std::string() : found->second;
}

std::string DescribeCause(const std::vector<LogRecord>& steps) {
  const LogRecord& last = steps.back();
  if (last.event == "caller-left")
    return "the caller closed the connection after " +
           FieldOf(last, "held_ms") + " ms";
  if (last.event == "attempt-ended") {
    const std::string outcome = FieldOf(last, "outcome");
    if (outcome == "succeeded" || outcome == "failed")
      return "server " + FieldOf(last, "server") + " responded with status " +
             FieldOf(last, "status") + " after " + FieldOf(last, "took_ms") +
             " ms";
    return "the last attempt ended as " + outcome +
           "; the record of the response was dropped or is in another log";
  }
  const std::string reason = FieldOf(last, "reason");
  for (const auto& [name, text] : kRefusalCauses) {
    if (reason == name)
      return std::string(text);
  }
  return "unknown refusal reason: " + reason;
}

// Returns the key of the state that the record reports, or an empty string if
// it reports none. Only the newest record of each key is part of a timeline.
std::string StateKey(const LogRecord& record) {
  if (record.part == "server")
    return "server " + FieldOf(record, "server");
  if (record.part == "store")
    return "store " + FieldOf(record, "table");
  if (record.part == "evacuation")
    return "evacuation " + FieldOf(record, "failure_domain");
  if (record.part == "configuration" || record.part == "member" ||
      record.part == "program")
    return record.part;
  return {};
}

// Returns whether the state belongs in the timeline. The state of a server is
// relevant only if a step names that server.
bool IsRelevant(const std::string& state_key,
                const std::vector<LogRecord>& steps) {
  if (!state_key.starts_with("server "))
    return true;
  return std::any_of(steps.begin(), steps.end(), [&](const LogRecord& step) {
    return state_key == "server " + FieldOf(step, "server");
  });
}

}  // namespace

std::optional<LogRecord> ParseLogRecord(std::string_view line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string_view::npos)
    return std::nullopt;
  const Json json = Json::parse(line.substr(begin), nullptr,
                                /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("event") || !json.contains("part"))
    return std::nullopt;
  LogRecord record;
  for (const auto& [key, value] : json.items()) {
    if (key == "unix_ms" && value.is_number_integer())
      record.unix_ms = value.get<std::int64_t>();
    else if (key == "steady_ms" && value.is_number_integer())
      record.steady_ms = value.get<std::int64_t>();
    else if (key == "entry")
      record.entry = ToText(value);
    else if (key == "part")
      record.part = ToText(value);
    else if (key == "event")
      record.event = ToText(value);
    else
      record.fields[key] = ToText(value);
  }
  return record;
}

std::vector<LogRecord> ReadLog(std::istream& input) {
  std::vector<LogRecord> records;
  std::string line;
  while (std::getline(input, line)) {
    if (auto record = ParseLogRecord(line))
      records.push_back(std::move(*record));
  }
  return records;
}

RequestTimeline ExplainRequest(const std::vector<LogRecord>& records,
                               std::string_view request) {
  RequestTimeline timeline;
  std::size_t end = 0;
  for (std::size_t i = 0; i < records.size(); ++i) {
    if (FieldOf(records[i], "request") != request)
      continue;
    timeline.steps.push_back(records[i]);
    end = i;
  }
  if (timeline.steps.empty())
    return timeline;
  // The records of one entry VM stand in the order in which it wrote them, so
  // clocks need not be compared.
  std::map<std::string, std::size_t> newest_by_key;
  const std::string& entry = timeline.steps.back().entry;
  for (std::size_t i = 0; i < end; ++i) {
    if (records[i].entry != entry)
      continue;
    const std::string key = StateKey(records[i]);
    if (!key.empty() && IsRelevant(key, timeline.steps))
      newest_by_key[key] = i;
  }
  for (const auto& [key, index] : newest_by_key)
    timeline.known_state.push_back(records[index]);
  timeline.cause = DescribeCause(timeline.steps);
  return timeline;
}

std::map<std::string, std::uint64_t> CountRecords(
    const std::vector<LogRecord>& records) {
  std::map<std::string, std::uint64_t> counts;
  for (const LogRecord& record : records) {
    std::string name = record.part + " " + record.event;
    for (const char* detail : {"reason", "outcome", "phase"}) {
      const std::string value = FieldOf(record, detail);
      if (!value.empty())
        name += " " + value;
    }
    ++counts[name];
  }
  return counts;
}

std::string FormatRecord(const LogRecord& record) {
  std::string text = std::to_string(record.unix_ms) + " " + record.entry + " " +
                     record.part + " " + record.event;
  for (const auto& [key, value] : record.fields)
    text += " " + key + "=" + value;
  return text;
}

}  // namespace cicadadrum
