// Tests of rows and bodies that take a large part of a small VM's link.

#include <string>

#include "cicadadrum/base/random.h"
#include "peer_fixture.h"

namespace cicadadrum {

namespace {

constexpr std::size_t kRoutes = 1400;
constexpr std::size_t kCalls = 10;

// Returns a configuration as an operator writes it.
std::string MakeConfigurationBody() {
  std::string body = "{\"version\":7,\"routes\":[";
  for (std::size_t i = 0; i < kRoutes; ++i)
    body += "{\"name\":\"r-" + std::to_string(i * 7919) + "\",\"host\":\"h" +
            std::to_string(i % 97) + ".example\",\"prefix\":\"/p" +
            std::to_string(i * 31337) +
            "/\",\"kind\":\"safe\",\"timeoutMilliseconds\":1200,"
            "\"latencyObjectiveMilliseconds\":400,\"priority\":2,"
            "\"service\":\"desk\",\"attempts\":2,\"sticky\":true},";
  return body + "]}";
}

// Returns bytes that no compression makes smaller.
std::string MakeRandomBody(std::size_t size) {
  Random random{.state = 7};
  std::string body;
  while (body.size() < size)
    body.push_back(static_cast<char>(NextRandom(random)));
  return body;
}

discovery::RelayResponse MakeAnswer(const std::string& body) {
  return {.rows = {{.key = "config", .value = body, .version = {0, 7}}},
          .version = {0, 7},
          .sequence = 3,
          .query_age = Milliseconds(7),
          .history_begin = {2, 5}};
}

// A server that answers every request for rows at once, and a client.
struct LargeAnswerFixture : PeerFixture {
  std::string body;
  std::vector<CallResult<discovery::RelayResponse>> results;

  explicit LargeAnswerFixture(std::string answer_body)
      : body(std::move(answer_body)) {
    PeerHandlers handlers = RecordingHandlers(recorded_calls);
    handlers.follow_rows = [this](std::uint64_t call, const PeerInfo&,
                                  const discovery::RelayRequest&) {
      server->RespondToFollowRows(call, MakeAnswer(body));
    };
    handlers.cancel_follow_rows = [](std::uint64_t) {};
    handlers.fetch_item = [this](const PeerInfo&, const std::string& key,
                                 std::uint64_t version) {
      return std::optional(PeerItem{key, version, body});
    };
    auto listening = PeerServer::Listen(loop, "127.0.0.1:0",
                                        MakeSettings("relay"), handlers);
    REQUIRE(listening);
    server = std::move(*listening);
    address = "127.0.0.1:" + std::to_string(server->port());
  }

  void RequestRows() {
    client->FollowRows(
        address, {.table = "op"}, SteadyNow() + Seconds(60),
        [this](const CallResult<discovery::RelayResponse>& result) {
          results.push_back(result);
        });
  }
};

}  // namespace

// Guards against a relay with a slow link that sends a configuration of 300 kB
// in full to each of its followers.
TEST_CASE("rows and bodies of text are sent in a quarter of their bytes") {
  LargeAnswerFixture peers(MakeConfigurationBody());
  peers.RequestRows();
  peers.RunUntil([&] { return peers.results.size() == 1; });
  REQUIRE(peers.results[0].value.rows.size() == 1);
  CHECK(peers.results[0].value.rows[0].value == peers.body);
  CHECK(peers.results[0].value.query_age == Milliseconds(7));
  CHECK(peers.results[0].value.history_begin == discovery::TableVersion{2, 5});
  std::optional<PeerItem> item;
  peers.client->FetchItem(
      peers.address, "configuration", 7, SteadyNow() + Seconds(60),
      [&](const CallResult<std::optional<PeerItem>>& result) {
        item = result.value;
      });
  peers.RunUntil([&] { return item.has_value(); });
  CHECK(item->value == peers.body);
  CHECK(peers.server->counters().rows_bytes < peers.body.size() / 4);
  CHECK(peers.server->counters().item_bytes < peers.body.size() / 4);
}

// Guards against a process of an earlier version that takes compressed bytes
// for a configuration.
TEST_CASE("a peer that can't read compressed values gets them as they are") {
  LargeAnswerFixture peers(MakeConfigurationBody());
  PeerSettings settings = MakeSettings("entry-1");
  settings.reads_compressed = false;
  peers.client = std::make_unique<PeerClient>(peers.loop, settings);
  peers.RequestRows();
  peers.RunUntil([&] { return peers.results.size() == 1; });
  REQUIRE(peers.results[0].value.rows.size() == 1);
  CHECK(peers.results[0].value.rows[0].value == peers.body);
  CHECK(peers.server->counters().rows_bytes > peers.body.size());
}

// Guards against a queue that grows with each repeated call of a follower that
// reads more slowly than the relay answers.
TEST_CASE("large answers are not queued behind unsent ones") {
  LargeAnswerFixture peers(MakeRandomBody(400'000));
  // Opens the connection.
  peers.RequestRows();
  peers.RunUntil([&] { return peers.results.size() == 1; });
  for (std::size_t i = 0; i < kCalls; ++i)
    peers.RequestRows();
  peers.RunUntil([&] { return peers.results.size() == 1 + kCalls; });
  std::size_t with_rows = 0;
  for (const auto& result : peers.results) {
    REQUIRE(result.outcome == CallOutcome::kAnswered);
    with_rows += result.value.rows.size();
    if (result.value.rows.empty())
      CHECK(result.value.failure == discovery::TableFailure::kRefused);
  }
  CHECK(with_rows <= 3);
  CHECK(peers.server->counters().rows_bytes < 4 * peers.body.size());
}

}  // namespace cicadadrum
