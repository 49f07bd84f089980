// Tests of configurations that are written for a later release.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "cicadadrum/base/error.h"
#include "configuration_codec.h"

namespace cicadadrum::platform {

namespace {

namespace leaf = boost::leaf;

// Returns the members of a valid route.
std::string Members(const std::string& name, const std::string& prefix) {
  return "\"name\":\"" + name + "\",\"host\":\"host\",\"prefix\":\"" + prefix +
         "\",\"timeoutMilliseconds\":1000,"
         "\"latencyObjectiveMilliseconds\":300,\"service\":\"desk\","
         "\"attempts\":3";
}

std::string Document(const std::string& routes,
                     const std::string& rest = "\"services\":[]") {
  return "{\"version\":7,\"routes\":[" + routes + "]," + rest + "}";
}

DecodedConfiguration Decode(const std::string& body) {
  return leaf::try_handle_all([&] { return DecodeConfiguration(body); },
                              [](const Error& error) -> DecodedConfiguration {
                                FAIL(error.detail);
                                return {};
                              },
                              [] { return DecodedConfiguration(); });
}

std::string ErrorOf(const std::string& body) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(DecodeConfiguration(body));
        return std::string();
      },
      [](const Error& error) { return error.detail; },
      [] { return std::string("unknown error"); });
}

bool HasRemark(const DecodedConfiguration& decoded,
               ConfigurationRemarkKind kind,
               const std::string& part_of_detail) {
  return std::any_of(decoded.remarks.begin(), decoded.remarks.end(),
                     [&](const ConfigurationRemark& remark) {
                       return remark.kind == kind &&
                              remark.detail.find(part_of_detail) !=
                                  std::string::npos;
                     });
}

}  // namespace

TEST_CASE("all kinds of routes are decoded without a remark") {
  std::string routes;
  for (const auto& kind : EnumNames<routing::RouteKind>::kTable)
    routes += (routes.empty() ? "{" : ",{") + Members("r", "/r/") +
              ",\"kind\":\"" + std::string(kind.name) + "\"}";
  const DecodedConfiguration decoded = Decode(Document(routes));
  REQUIRE(decoded.configuration.routes.size() ==
          EnumNames<routing::RouteKind>::kTable.size());
  for (std::size_t i = 0; i < decoded.configuration.routes.size(); ++i)
    CHECK(decoded.configuration.routes[i].kind ==
          EnumNames<routing::RouteKind>::kTable[i].value);
  CHECK(decoded.configuration.routes[0].max_attempts == 3);
  CHECK(decoded.remarks.empty());
}

// Guards against a fleet that serves nothing because one route has a kind of a
// later release, and against repeating requests of such a route.
TEST_CASE("a route of an unknown kind runs requests once, at one server") {
  for (const std::string kind : {"\"stream\"", "\"\"", "\"SAFE\""}) {
    CAPTURE(kind);
    const DecodedConfiguration decoded = Decode(
        Document("{" + Members("new", "/new/") + ",\"kind\":" + kind + "},{" +
                 Members("old", "/old/") + ",\"kind\":\"safe\"}"));
    REQUIRE(decoded.configuration.routes.size() == 2);
    const routing::Route& unknown = decoded.configuration.routes[0];
    CHECK(unknown.is_readable);
    CHECK(!routing::IsIdempotent(unknown.kind));
    CHECK(unknown.max_attempts == 1);
    CHECK(decoded.configuration.routes[1].kind == routing::RouteKind::kSafe);
    CHECK(HasRemark(decoded, ConfigurationRemarkKind::kUnknownKind,
                    "route new.kind"));
    CHECK(decoded.remarks.size() == 1);
  }
}

// Guards against a fleet that serves nothing because one field has another
// form, and against serving the route without a restriction that can't be read.
TEST_CASE("a route with a field of another form is refused alone") {
  for (const std::string field :
       {"\"kind\":7", "\"homeRegions\":\"north\"", "\"priority\":-1",
        "\"sticky\":{\"for\":3}", "\"timeoutMilliseconds\":{}"}) {
    CAPTURE(field);
    const DecodedConfiguration decoded = Decode(
        Document("{" + field + "," + Members("new", "/old/new/") + "},{" +
                 Members("old", "/old/") + ",\"kind\":\"safe\"}"));
    REQUIRE(decoded.configuration.routes.size() == 2);
    CHECK(!decoded.configuration.routes[0].is_readable);
    CHECK(decoded.configuration.routes[0].prefix == "/old/new/");
    CHECK(decoded.configuration.routes[1].is_readable);
    CHECK(HasRemark(decoded, ConfigurationRemarkKind::kUnreadableRoute,
                    "route new"));
  }
}

TEST_CASE("a route that is no object is left out") {
  const DecodedConfiguration decoded =
      Decode(Document("\"more-routes\",null,{" + Members("old", "/old/") +
                      ",\"kind\":\"safe\"}"));
  REQUIRE(decoded.configuration.routes.size() == 1);
  CHECK(decoded.configuration.routes[0].name == "old");
  CHECK(HasRemark(decoded, ConfigurationRemarkKind::kUnreadableRoute, "route"));
}

TEST_CASE("unknown keys of routes are ignored and named once") {
  const std::string later = ",\"kind\":\"safe\",\"audience\":[{\"a\":1}]}";
  const DecodedConfiguration decoded =
      Decode(Document("{" + Members("one", "/one/") + later + ",{" +
                      Members("two", "/two/") + later));
  CHECK(decoded.configuration.routes.size() == 2);
  REQUIRE(decoded.remarks.size() == 1);
  CHECK(decoded.remarks[0].kind == ConfigurationRemarkKind::kUnknownKey);
  CHECK(decoded.remarks[0].detail == "routes.audience");
}

TEST_CASE("an odd service and odd limits cost themselves only") {
  const std::string route = "{" + Members("r", "/r/") + ",\"kind\":\"safe\"}";
  const DecodedConfiguration decoded =
      Decode(Document(route,
                      "\"services\":[{\"name\":\"odd\","
                      "\"maxConnections\":\"many\"},{\"name\":\"desk\","
                      "\"coldStartSeconds\":3}],\"limits\":[1,2]"));
  REQUIRE(decoded.configuration.services.size() == 1);
  CHECK(decoded.configuration.services[0].name == "desk");
  CHECK(decoded.configuration.limits == routing::CallerLimits());
  CHECK(HasRemark(decoded, ConfigurationRemarkKind::kUnreadableService, "odd"));
  CHECK(
      HasRemark(decoded, ConfigurationRemarkKind::kUnreadableLimits, "limits"));
}

// Such a document is an error of its author, whatever the release.
TEST_CASE("plainly wrong input keeps its error") {
  CHECK(ErrorOf("not JSON").find("configuration") != std::string::npos);
  CHECK(ErrorOf("{\"version\":0,\"routes\":[]}").find("version") !=
        std::string::npos);
  CHECK(ErrorOf("{\"version\":\"x\",\"routes\":[]}") != "");
  CHECK(ErrorOf("{\"version\":7,\"routes\":{}}").find("a list is required") !=
        std::string::npos);
  CHECK(ErrorOf(Document("{\"name\":\"r\",\"kind\":\"safe\","
                         "\"timeoutMilliseconds\":5}"))
            .find("either service or split is required") != std::string::npos);
  CHECK(ErrorOf(Document("{\"name\":\"r\",\"kind\":\"safe\","
                         "\"service\":\"desk\",\"timeoutMilliseconds\":-5}"))
            .find("a time above 0 is required") != std::string::npos);
  CHECK(ErrorOf(Document("{\"name\":\"r\",\"kind\":\"safe\",\"split\":["
                         "{\"service\":\"desk\",\"weight\":-1}],"
                         "\"timeoutMilliseconds\":5}"))
            .find("a weight of at least 0") != std::string::npos);
}

// Guards against accounts that a later release writes: keys of one that can't
// be read must not count as unknown, and others must still be served.
TEST_CASE("an account that can't be read costs that account only") {
  const std::string good =
      R"({"name":"one","keys":["k1","k2"],"priority":0,"requestsPerSecond":2.5,)"
      R"("burst":9,"homeRegions":["north"],"later":1})";
  for (const std::string bad :
       {R"({"name":"","keys":["secret"]})",
        R"({"name":"a\nb","keys":["secret"]})",
        R"({"name":"two","keys":["secret",{"hash":"secret"}]})",
        R"({"name":"two","keys":"secret"})", R"({"name":"two","keys":[""]})",
        R"({"name":"two","keys":["secret"],"priority":-2})",
        R"({"name":"two","keys":["secret"],"burst":-1})", R"("secret")"}) {
    CAPTURE(bad);
    const DecodedConfiguration decoded =
        Decode(Document("", R"("clientAccounts":[)" + bad + "," + good + "]"));
    const routing::RoutingConfiguration& configuration = decoded.configuration;
    CHECK(configuration.has_client_accounts);
    CHECK(configuration.has_unreadable_accounts);
    REQUIRE(configuration.client_accounts.size() == 1);
    CHECK(configuration.client_accounts[0] ==
          routing::ClientAccount{.name = "one",
                                 .keys = {"k1", "k2"},
                                 .priority = 0,
                                 .requests_per_second = 2.5,
                                 .burst = 9,
                                 .home_regions = {"north"}});
    CHECK(HasRemark(decoded, ConfigurationRemarkKind::kUnreadableAccount, "0"));
    CHECK(HasRemark(decoded, ConfigurationRemarkKind::kUnknownKey,
                    "clientAccounts.later"));
    // Remarks are written to the log.
    for (const ConfigurationRemark& remark : decoded.remarks)
      CHECK(remark.detail.find("secret") == std::string::npos);
  }
}

// Guards against callers that are served without keys although operators have
// set accounts in a form of a later release.
TEST_CASE("a list of accounts requires keys, whatever its form") {
  CHECK(!Decode(Document("")).configuration.has_client_accounts);
  for (const std::string list : {"[]", "{}", "null"}) {
    CAPTURE(list);
    const auto configuration =
        Decode(Document("", "\"clientAccounts\":" + list)).configuration;
    CHECK(configuration.has_client_accounts);
    CHECK(configuration.has_unreadable_accounts == (list != "[]"));
  }
}

// Guards against a key that counts for two accounts.
TEST_CASE("a repeated key counts for the first account and is remarked") {
  DecodedConfiguration decoded =
      Decode(Document("{" + Members("r", "/") + ",\"isPublic\":true}",
                      R"("clientAccounts":[{"name":"one","keys":["secret"]},)"
                      R"({"name":"two","keys":["secret"]}])"));
  CHECK(HasRemark(decoded, ConfigurationRemarkKind::kRepeatedKey, "two"));
  CHECK(!HasRemark(decoded, ConfigurationRemarkKind::kRepeatedKey, "secret"));
  const routing::RouteTable table =
      routing::MakeRouteTable(std::move(decoded.configuration));
  CHECK(table.configuration.routes[0].is_public);
  REQUIRE(routing::FindAccount(table, "secret") != nullptr);
  CHECK(routing::FindAccount(table, "secret")->name == "one");
  CHECK(!routing::FindAccount(table, "secret")->priority);
}

}  // namespace cicadadrum::platform
