// Tests of the conversion of servers' responses.

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "headers.h"
#include "http_codec.h"

namespace cicadadrum::platform {

namespace {

routing::AttemptEnded Decode(std::uint16_t status, HttpFields headers) {
  return DecodeResponse({}, HttpOutcome::kAnswered,
                        {.status = status, .headers = std::move(headers)});
}

Duration PauseOf(std::uint16_t status, const std::string& value) {
  return Decode(status, {{std::string(kRetryAfter), value}}).pause;
}

}  // namespace

// Guards against sending to a server because its wish was not understood.
TEST_CASE("a pause is read from a 503, in seconds with or without a fraction") {
  CHECK(PauseOf(503, "2") == Seconds(2));
  CHECK(PauseOf(503, "0.25") == Milliseconds(250));
  CHECK(PauseOf(503, " 2 ") == Seconds(2));
  CHECK(PauseOf(503, "120.5") == Milliseconds(120'500));
  CHECK(PauseOf(503, "999999999999999999999999") == routing::kMaxServerPause);
  CHECK(Decode(503,
               {{std::string(kNotRun), "1"}, {std::string(kRetryAfter), "2"}})
            .pause == Seconds(2));
}

// Guards against a pause that the server did not ask for.
TEST_CASE("other values and other statuses ask for no pause") {
  for (const std::string value :
       {"", "0", "-1", "-0.5", "soon", "2 s", "2,5", "nan", "inf", "1e9",
        "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    CAPTURE(value);
    CHECK(PauseOf(503, value) == Duration::zero());
  }
  for (const std::uint16_t status : {200, 421, 429, 500, 504}) {
    CAPTURE(status);
    CHECK(PauseOf(status, "2") == Duration::zero());
  }
}

// Guards against a key that is taken for another, or for none.
TEST_CASE("a key is read from a single header with the scheme Bearer") {
  const auto key = [](const HttpFields& headers) {
    return DecodeRequest(1, {.headers = headers}).key;
  };
  CHECK(key({{"Authorization", "Bearer k1"}}) == "k1");
  CHECK(key({{"authorization", "bEARER   k1 "}}) == "k1");
  for (const std::string value :
       {"", "k1", "Bearer", "Bearer ", "Bearerk1", "Basic k1"}) {
    CAPTURE(value);
    CHECK(key({{"Authorization", value}}).empty());
  }
  CHECK(key({{"Authorization", "Bearer k1"}, {"AUTHORIZATION", "Bearer k1"}})
            .empty());
  CHECK(key({}).empty());
}

// Guards against keys that servers see, and names that callers choose.
TEST_CASE(
    "a server receives the account that the entry VM states, and no key") {
  const HttpRequest request{.headers = {{"authorization", "Bearer k1"},
                                        {"Cicadadrum-Tenant", "forged"},
                                        {"Authorization", "Bearer k2"},
                                        {"cicadadrum-tenant", "forged"},
                                        {"Accept", "*/*"}}};
  const auto values = [&](const routing::SendAttempt& attempt,
                          std::string_view name) {
    HttpFields fields = EncodeAttempt(request, attempt).headers;
    std::vector<std::string> found;
    while (!FindField(fields, name).empty()) {
      const std::string value(FindField(fields, name));
      found.push_back(value);
      std::erase_if(fields,
                    [&](const auto& field) { return field.second == value; });
    }
    return found;
  };
  using Values = std::vector<std::string>;
  const routing::SendAttempt named{.account = "one", .hides_credentials = true};
  CHECK(values(named, kAccount) == Values{"one"});
  CHECK(values(named, kAuthorization).empty());
  CHECK(values(named, "Accept") == Values{"*/*"});
  const routing::SendAttempt unnamed{.hides_credentials = true};
  CHECK(values(unnamed, kAccount).empty());
  CHECK(values(unnamed, kAuthorization).empty());
  CHECK(values({}, kAccount).empty());
  CHECK(values({}, kAuthorization) == Values{"Bearer k1", "Bearer k2"});
}

// Guards against a 401 for a request that an earlier attempt may have run.
TEST_CASE("a refused key has status 401 only if the request has not run") {
  routing::RefuseRequest refusal{.reason = routing::RefusalReason::kUnknownKey,
                                 .verdict = Verdict::kNotRun};
  CHECK(EncodeRefusal(refusal, "1").status == 401);
  refusal.verdict = Verdict::kMayHaveRun;
  CHECK(EncodeRefusal(refusal, "1").status == 502);
  refusal = {.reason = routing::RefusalReason::kUnreadableAccount,
             .verdict = Verdict::kNotRun,
             .retry_after = Seconds(1)};
  CHECK(EncodeRefusal(refusal, "1").status == 503);
  CHECK(FindField(EncodeRefusal(refusal, "1").headers, kRetryAfter) == "1.00");
}

// Guards against the load and cold time of another server at the address.
TEST_CASE("a 421 reports nothing of the expected server") {
  const HttpFields headers = {{std::string(kServerLoad), "4,9,4,300"},
                              {std::string(kColdLeft), "5000"}};
  const routing::AttemptEnded wrong_server = Decode(421, headers);
  CHECK(wrong_server.outcome == routing::ServerOutcome::kWrongServer);
  CHECK(!wrong_server.report);
  CHECK(wrong_server.cold_left == Duration::zero());
  CHECK(Decode(503, headers).report);
  CHECK(Decode(503, headers).cold_left == Seconds(5));
}

// Guards against times that overflow, and so end a cold time or a request.
TEST_CASE("times that headers state stay within a day") {
  const auto cold_time = [](const std::string& value) {
    return Decode(200, {{std::string(kColdLeft), value}}).cold_left;
  };
  const auto remaining = [](const std::string& value) {
    return DecodeRequest(1, {.headers = {{std::string(kDeadline), value}}})
        .remaining;
  };
  CHECK(cold_time("1500.5") == Microseconds(1'500'500));
  CHECK(cold_time("1e300") == Seconds(86'400));
  CHECK(cold_time("nan") == Duration::zero());
  CHECK(remaining("250") == Milliseconds(250));
  CHECK(remaining("1e300") == Seconds(86'400));
  CHECK(remaining("inf") == Seconds(30));
  CHECK(remaining("") == Seconds(30));
}

// Guards against loads that make the cost of a server undefined.
TEST_CASE("a load with a field that is out of range is not read") {
  const auto has_report = [](const std::string& value) {
    return Decode(200, {{std::string(kServerLoad), value}}).report.has_value();
  };
  CHECK(has_report("1,0,4,100"));
  for (const std::string value :
       {"nan,0,4,100", "1,1e300,4,100", "1,0,4,nan", "1,0,4,inf"}) {
    CAPTURE(value);
    CHECK(!has_report(value));
  }
}

// Guards against marking a server for a header that says nothing of leaving.
TEST_CASE("only the value 1 announces that a server is leaving") {
  for (const std::uint16_t status : {200, 404, 429, 500, 503, 504})
    CHECK(Decode(status, {{"server-leaving", "1"}}).leaving);
  CHECK(Decode(200, {{std::string(kLeaving), " 1\t"}}).leaving);
  CHECK(!Decode(421, {{std::string(kLeaving), "1"}}).leaving);
  for (const std::string value : {"", "0", "no", "11"})
    CHECK(!Decode(200, {{std::string(kLeaving), value}}).leaving);
}

// Guards against a server in need that gets requests because its limit was not
// understood, and against a limit that a server did not state.
TEST_CASE("a limit is read from a response of the server") {
  const auto limit = [](std::uint16_t status, const std::string& value) {
    return Decode(status,
                  {{std::string(kLimit), value}, {std::string(kSeal), "seal"}})
        .limit;
  };
  CHECK(limit(200, "7.25") == 7.25);
  CHECK(limit(200, " 12 ") == 12);
  CHECK(limit(500, "0") == 0);
  CHECK(limit(503, "3") == 3);
  for (const std::string value : {"-1", "soon", "7,5", "nan", "inf", "1e9"}) {
    CAPTURE(value);
    CHECK(!limit(200, value));
  }
  CHECK(Decode(200, {{std::string(kSeal), "seal"}}).limit ==
        routing::kUnlimited);
  // Another server responded, or the bytes are no response of the server.
  CHECK(!limit(421, "7"));
  CHECK(!Decode(200, {}).limit);
}

// Guards against a check of a connection that is not the one of the attempt.
TEST_CASE("the check of an attempt asks for the health path") {
  CHECK(!EncodeColdCheck({}));
  const auto check = EncodeColdCheck(
      {.server = "s-1", .cold_check = {{"/health", Seconds(3)}}});
  REQUIRE(check);
  CHECK(check->request.method == HttpMethod::kGet);
  CHECK(check->request.target == "/health");
  CHECK(check->request.headers.empty());
  CHECK(check->sufficient_age == Seconds(3));
  CHECK(check->accepts({.headers = {{std::string(kServerId), "s-1"}}}));
  CHECK(!check->accepts({.headers = {{std::string(kServerId), "s-2"}}}));
}

// Guards against a cold server that is taken to be warm, against a warm one
// that gets no requests, and against the cold time of another server.
TEST_CASE("a health response states whether its server is cold") {
  using routing::ServerOutcome;
  const std::string id(kServerId);
  const std::string cold(kColdLeft);
  const std::string not_run(kNotRun);
  struct Case {
    std::uint16_t status = 200;
    HttpFields headers;
    std::optional<ServerOutcome> outcome;  // None if the check is passed.
    Duration cold_left{};
  };
  const std::vector<Case> cases = {
      {200, {{id, "s-1"}}, {}},
      {200, {}, {}},
      {200, {{id, "s-1"}, {cold, "0"}}, {}},
      {200, {{id, "s-1"}, {cold, "-5"}}, {}},
      {200, {{id, "s-1"}, {cold, "soon"}}, {}},
      {200, {{id, "s-1"}, {cold, "nan"}}, {}},
      // A server that is leaving or fails may still be used.
      {503, {{id, "s-1"}}, {}},
      {200, {{id, "s-1"}, {cold, "1"}}, ServerOutcome::kCold, Milliseconds(1)},
      {503, {{id, "s-1"}, {cold, "9"}}, ServerOutcome::kCold, Milliseconds(9)},
      {200, {{cold, "2988.5"}}, ServerOutcome::kCold, Microseconds(2'988'500)},
      {200, {{cold, "1e300"}}, ServerOutcome::kCold, Seconds(86'400)},
      {200, {{id, "s-2"}}, ServerOutcome::kWrongServer},
      {200, {{id, "s-2"}, {cold, "9"}}, ServerOutcome::kWrongServer},
      {503, {{id, "s-2"}, {not_run, "1"}}, ServerOutcome::kWrongServer},
      {503, {{not_run, "1"}}, ServerOutcome::kRejected},
      {503, {{id, "s-1"}, {not_run, "1"}}, ServerOutcome::kRejected},
  };
  for (const Case& health : cases) {
    CAPTURE(health.status);
    CAPTURE(&health - cases.data());
    const HttpResponse response{.status = health.status,
                                .headers = health.headers};
    CHECK(PassesColdCheck("s-1", response) == !health.outcome);
    if (!health.outcome)
      continue;
    const routing::AttemptEnded ended =
        DecodeResponse({.server = "s-1"}, HttpOutcome::kCheckFailed, response);
    CHECK(ended.outcome == *health.outcome);
    CHECK(ended.cold_left == health.cold_left);
    CHECK(routing::ProvesNotRun(ended.outcome));
  }
}

// Guards against fields that end a line, or a status that is no status, in a
// response to a caller.
TEST_CASE("a malformed response is not passed to a caller") {
  const HttpResponse valid{.headers = {{"X", "1"}}, .body = "body"};
  CHECK(EncodeDelivery(valid).headers == valid.headers);
  for (const HttpResponse& response :
       std::vector<HttpResponse>{{.status = 0},
                                 {.status = 101},
                                 {.status = 600},
                                 {.headers = {{"", "1"}}},
                                 {.headers = {{"X Y", "1"}}},
                                 {.headers = {{"X", "1\r\nY: 2"}}},
                                 {.headers = {{"X", std::string("1\0", 2)}}}}) {
    const HttpResponse delivered = EncodeDelivery(response);
    CHECK(delivered.status == 502);
    CHECK(delivered.headers.empty());
  }
}

}  // namespace cicadadrum::platform
