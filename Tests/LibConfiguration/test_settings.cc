// Tests of settings files and of the lists of client accounts and plans: each
// kind of invalid input is rejected with the file, the key path, the value and
// what is allowed.

#include <doctest/doctest.h>

#include <unistd.h>
#include <filesystem>
#include <fstream>

#include "cicadadrum/base/error.h"
#include "cicadadrum/configuration/settings.h"

namespace cicadadrum {

namespace {

namespace leaf = boost::leaf;

// Returns the error text of `function`, or an empty text if `function`
// succeeds.
template <typename Function>
std::string ErrorOf(Function&& function) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(function());
        return std::string();
      },
      [](const Error& error) { return error.detail; },
      [] { return std::string("unknown"); });
}

Deployment TestDeployment() {
  return {.regions = {{"cusco", {"cusco-a"}}},
          .services = {{"status-board", {RequestClass::kUrgent}}}};
}

std::string ConfigurationError(const std::string& text) {
  return ErrorOf(
      [&] { return ParseConfiguration(text, "lists.json", TestDeployment()); });
}

std::string DocumentWithPlan(const std::string& plan) {
  return R"({"client_accounts": [{"name": "roads", "plan": "gold"}], "plans": [)" +
         plan + "]}";
}

constexpr char kGoldPlan[] =
    R"({"name": "gold", "services": ["status-board"], "classes": ["urgent"], "regions": ["cusco"]})";

std::string EditedDeploymentError(const std::string& from,
                                  const std::string& to) {
  std::ifstream file(CICADADRUM_SOURCE_DIR
                     "/Settings/andesoft/deployment.json");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  const std::size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  text.replace(position, from.size(), to);
  const auto path = std::filesystem::temp_directory_path() /
                    ("deployment-" + std::to_string(getpid()) + ".json");
  std::ofstream(path) << text;
  std::string error = ErrorOf([&] { return LoadDeployment(path.string()); });
  std::filesystem::remove(path);
  return error;
}

}  // namespace

TEST_CASE("lists with comments are parsed and stay the same when formatted") {
  const std::string text = "// comment\n" + DocumentWithPlan(kGoldPlan);
  const auto parsed = ParseConfiguration(text, "lists.json", TestDeployment());
  REQUIRE(parsed);
  const auto reparsed = ParseConfiguration(FormatConfiguration(*parsed),
                                           "again", TestDeployment());
  REQUIRE(reparsed);
  CHECK(*reparsed == *parsed);
}

// Guards against lists that were written for an earlier release and can't be
// read any more.
TEST_CASE("the earlier key of the client accounts is read") {
  std::string text = DocumentWithPlan(kGoldPlan);
  const auto expected =
      ParseConfiguration(text, "lists.json", TestDeployment());
  text.replace(text.find("client_accounts"), 15, "customers");
  const std::string comment = "/* customers */ // \"customers\": []\n";
  const auto parsed =
      ParseConfiguration(comment + text, "lists.json", TestDeployment());
  REQUIRE(parsed);
  CHECK(*parsed == *expected);
}

// Guards against ignoring one of two lists of client accounts without a word.
TEST_CASE("lists with the earlier and the present key are rejected") {
  const std::string error = ConfigurationError(
      "{\"client_accounts\": [],\n \"customers\": [], \"plans\": []}");
  CHECK(error.find("line 2: customers is the earlier name") !=
        std::string::npos);
}

// Guards against applying only a part of invalid lists: each of these documents
// must be rejected as a whole.
TEST_CASE("invalid lists are rejected with the key path") {
  struct Case {
    std::string text;
    std::string expected;
  };
  const std::vector<Case> cases = {
      {"{", "not a JSON document"},
      {R"({"client_account": []})",
       "client_account: unknown key; known keys are client_accounts, plans"},
      {R"({"client_accounts": 3})",
       "client_accounts: 3 is not allowed; expected a list"},
      {R"({"client_accounts": [{"name": 7}]})",
       "client_accounts[0].name: 7 is not allowed; expected a string"},
      {R"({"plans": [], "plans": []})", "key 'plans' is given twice"},
      {DocumentWithPlan(R"({"name": "gold", "classes": ["fast"]})"),
       "plans[0].classes[0]: \"fast\" is not allowed; expected one of urgent, "
       "routine, write, bulk"},
      {DocumentWithPlan(R"({"name": "gold", "concurrency": -1})"),
       "plans[0].concurrency: -1 is not allowed; expected an integer from 0 to "
       "4294967295"},
      {DocumentWithPlan(
           R"({"name": "gold", "services": ["nope"], "classes": ["urgent"], "regions": ["cusco"]})"),
       "plans[0].services: 'nope' is not a service of the deployment"},
      {DocumentWithPlan(
           R"({"name": "gold", "services": ["status-board"], "classes": ["urgent"], "regions": []})"),
       "plans[0]: services, classes and regions must each have at least one "
       "item"},
      {DocumentWithPlan(std::string(kGoldPlan) + "," + kGoldPlan),
       "plans[1].name: 'gold' is given twice; names must be unique"},
      {R"({"client_accounts": [{"name": "roads", "plan": "none"}], "plans": []})",
       "client_accounts[0].plan: 'none' is not one of plans"},
  };
  for (const Case& invalid : cases)
    CHECK(ConfigurationError(invalid.text) ==
          "lists.json: " + invalid.expected);
}

// Guards against a deployment whose entry VMs are not distinct or not
// reachable.
TEST_CASE("invalid deployments are rejected with the key path") {
  CHECK(EditedDeploymentError("\"shiftCapPercent\": 10",
                              "\"shiftCapPercent\": 101")
            .ends_with("shiftCapPercent: 101 is not allowed; expected an "
                       "integer from 1 to 100"));
  CHECK(EditedDeploymentError("\"name\": \"entry-2\"", "\"name\": \"entry-1\"")
            .ends_with("entries[1].name: 'entry-1' is given twice; names must "
                       "be unique"));
  CHECK(EditedDeploymentError("127.0.0.1:21101", "127.0.0.1:21100")
            .ends_with("entries[1].callerAddress: '127.0.0.1:21100' is given "
                       "twice; addresses must be unique"));
  CHECK(EditedDeploymentError("\"region\": \"cusco\"", "\"region\": \"lima\"")
            .ends_with("entries[0].region: 'lima' is not one of regions"));
  CHECK(EditedDeploymentError(
            "[\n        \"cusco-a\",\n        \"cusco-b\"\n      ]", "[]")
            .ends_with("regions[0].failureDomains: is empty; expected at least "
                       "one failure domain"));
}

// Guards against settings files of the repository that no longer load.
TEST_CASE("the settings files of both deployments load") {
  for (const std::string name : {"andesoft", "huon"}) {
    const std::string folder =
        std::string(CICADADRUM_SOURCE_DIR) + "/Settings/" + name;
    const auto settings = LoadEntrySettings(folder + "/entry-1.json");
    REQUIRE(settings);
    CHECK(settings->deployment.entries.size() == 9);
    CHECK(settings->deployment.regions.size() == 3);
    CHECK(settings->self.name == "entry-1");
  }
}

}  // namespace cicadadrum
