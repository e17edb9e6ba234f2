// Tests of reloads of a running node, idle and under load.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

// Settings with other classes, tenants and limits than NodeTest::settingsText(); "order" is idempotent here.
std::string migratedSettings(const std::string& fleet) {
  return "<gannetcourse xmlns='urn:gannetcourse:settings:1'><node name='n1' zone='north' nodes='150'/>"
         "<listen grpc='127.0.0.1:0' stream-buffer='8KiB' max-metadata='2KiB' max-message='64KiB'/>"
         "<zones><zone name='south'/><zone name='north'/></zones><classes>"
         "<class name='booking' aim='1s' first-token-within='6s' effect='unsafe' worth='5'/>"
         "<class name='order' aim='2s' first-token-within='6s' effect='safe'/></classes>"
         "<tenants><tenant name='inn' share='0.5' quota-per-second='100'/></tenants>"
         "<limits max-attempts='4' pin-limit='300ms' answer-margin='200ms'/>"
         "<engines reports='answers' probes='true' decode-may-prefill='true'/>" +
         fleet + "</gannetcourse>";
}

TEST_F(NodeTest, FailsReloadWithInvalidEngineListOrNewNodeNameAndKeepsServing) {
  startWithTwoEngines();
  std::ofstream(folder / "fleet.xml") << "<fleet xmlns='urn:gannetcourse:fleet:1'><engine id='1'/></fleet>";
  EXPECT_THROW(node->reload(node->settings()), config::InvalidFile);
  config::NodeSettings other = node->settings();
  other.name = "n2";
  EXPECT_THROW(node->reload(other), RestartRequired);
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk));
}

TEST_F(NodeTest, ReloadAppliesChangedClassLimits) {
  startWithTwoEngines();
  config::NodeSettings changed = node->settings();
  changed.classes[0].maxPromptTokens = 50;
  node->reload(changed);
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kInvalidArgument));
  EXPECT_NE(std::find(logLines.begin(), logLines.end(), "class query max-prompt-tokens: 5000 -> 50"),
            logLines.end());
}

// Reloads a running node to settings with other classes, and back.
class NodeMigrationTest : public NodeTest {
 protected:
  NodeMigrationTest() {
    source = fileSource({{&prefillEngine, "prefill"}, {&decodeEngine, "decode"}});
    start(source);
    order.set_request_class("order");  // at most once before the migration, idempotent after it
    booking.set_request_class("booking");
    booking.set_tenant("inn");
  }

  void keepDecodesOpen() {
    decodeEngine.onDecode = [this](const ServerCall& call, const v1::DecodeRequest&) {
      openDecodes.push_back(call);
    };
  }
  std::shared_ptr<Response> generateAndWaitForDecode(const v1::GenerateRequest& request) {
    const std::size_t before = openDecodes.size();
    auto response = generate(request);
    EXPECT_TRUE(waitUntil([&] { return openDecodes.size() == before + 1; }));
    return response;
  }

  std::string source;
  v1::GenerateRequest order = query(), booking = query();
  std::vector<ServerCall> openDecodes;
};

// Guards against requests that are lost, repeated or handled under another class because a reload removes
// or changes their class.
TEST_F(NodeMigrationTest, KeepsOpenRequestsAcrossMigrationAndBack) {
  keepDecodesOpen();
  const auto acceptedBefore = generateAndWaitForDecode(order);
  ASSERT_EQ(openDecodes.size(), 1u);

  node->reload(config::parseSettings(migratedSettings(source), "migrated.xml"));
  EXPECT_EQ(node->core().openRequests(), 1u) << "the accepted request must stay open";
  // The request may have run. Its class was at-most-once when it was accepted, so it must not run again.
  openDecodes[0]->finish({grpc::Code::kInternal, "broke"});
  ASSERT_TRUE(waitForEnd(acceptedBefore));
  EXPECT_EQ(acceptedBefore->finalStatus(), "failed");
  runFor();
  EXPECT_EQ(decodeEngine.decodes, 1);

  decodeEngine.onDecode = nullptr;
  const auto outOfService = generate();
  EXPECT_TRUE(waitUntil([&] { return outOfService->endedWith(grpc::Code::kInvalidArgument); }))
      << "class query must be out of service";
  const auto booked = generate(booking);
  ASSERT_TRUE(waitForEnd(booked));
  EXPECT_TRUE(booked->endedWith(grpc::Code::kOk)) << booked->end->status.message;

  keepDecodesOpen();
  const auto inFlight = generateAndWaitForDecode(booking);
  ASSERT_EQ(openDecodes.size(), 2u);
  node->reload(config::parseSettings(settingsText(source), "node.xml"));
  ScriptedEngine::sendToken(openDecodes[1], 0, "done");
  openDecodes[1]->finish({});
  ASSERT_TRUE(waitForEnd(inFlight));
  EXPECT_TRUE(inFlight->endedWith(grpc::Code::kOk)) << "the request must finish under its earlier class";
  decodeEngine.onDecode = nullptr;
  const auto acceptedAfter = generate();
  ASSERT_TRUE(waitForEnd(acceptedAfter));
  EXPECT_TRUE(acceptedAfter->endedWith(grpc::Code::kOk));
  EXPECT_EQ(node->settings().classes.size(), 4u) << "query and order must get their earlier indices";
  EXPECT_EQ(node->core().openRequests(), 0u);
  for (const auto& response : {acceptedBefore, booked, inFlight, acceptedAfter}) EXPECT_EQ(response->ends, 1);
}

// Alternates between two settings while streams, prefills and retries are in flight. Before each valid
// reload, a reload with invalid settings is tried and fails. Some decodes and prefills stay open during a
// reload; some decodes fail.
class NodeMigrationUnderLoadTest : public NodeMigrationTest {
 protected:
  NodeMigrationUnderLoadTest() {
    std::string text = migratedSettings(source);
    const auto tenants = text.find("<tenants>"), end = text.find("</tenants>");
    text.erase(tenants, end + 10 - tenants);
    original = config::parseSettings(settingsText(source), "node.xml");
    migrated = config::parseSettings(text, "migrated.xml");
    decodeEngine.onDecode = [this](const ServerCall& call, const v1::DecodeRequest& request) {
      ++runs[request.seed()];
      decode(call);
    };
    prefillEngine.onPrefill = [this](const ServerCall& call, const v1::PrefillRequest&) {
      if (prefillEngine.prefills % 4 == 0) return openPrefills.push_back(call);
      ScriptedEngine::replyToPrefill(call);
    };
  }

  void decode(const ServerCall& call) {
    ScriptedEngine::sendToken(call, 0, "one");
    if (decodeEngine.decodes % 3 == 0) return openDecodes.push_back(call);
    if (decodeEngine.decodes % 5 == 0) return call->finish({grpc::Code::kInternal, "broke"});
    call->finish({});
  }
  void finishOpenCalls() {
    for (const ServerCall& call : std::exchange(openDecodes, {})) call->finish({});
    for (const ServerCall& call : std::exchange(openPrefills, {})) ScriptedEngine::replyToPrefill(call);
  }

  // Sends request `number` while the node has its migrated or its original settings.
  void sendRequest(std::uint64_t number, bool isMigrated) {
    const bool odd = number % 2 == 1;
    const std::string oddClass = isMigrated ? "booking" : "query";
    v1::GenerateRequest request = query();
    request.set_seed(number);
    request.set_request_class(odd ? oddClass : "order");
    const bool atMostOnce = isMigrated ? odd : !odd;
    if (atMostOnce) atMostOnceRequests.insert(number);
    responses.push_back(generate(request, Duration(20)));
    loop.runOnce(Duration(0.005));
  }
  void reloadTo(const config::NodeSettings& settings) {
    config::NodeSettings invalid = original;
    invalid.name = "other";
    EXPECT_THROW(node->reload(invalid), RestartRequired);
    node->reload(settings);
    finishOpenCalls();
  }

  config::NodeSettings original, migrated;
  std::vector<ServerCall> openPrefills;
  std::vector<std::shared_ptr<Response>> responses;
  std::set<std::uint64_t> atMostOnceRequests;
  std::map<std::uint64_t, int> runs;  // number of runs for each seed of a request
};

TEST_F(NodeMigrationUnderLoadTest, RespondsOnceAndRunsAtMostOnceRequestsAtMostOnce) {
  for (std::uint64_t number = 1; number <= 80; ++number) {
    const bool isMigrated = number / 10 % 2 == 1;
    sendRequest(number, isMigrated);
    if (number % 10 != 9) continue;
    ASSERT_TRUE(waitUntil([&] { return node->core().counters().accepted == number; }));
    reloadTo(isMigrated ? original : migrated);
  }
  const auto allEnded = [&] {
    finishOpenCalls();
    return std::all_of(responses.begin(), responses.end(),
                       [](const auto& response) { return response->end.has_value(); });
  };
  ASSERT_TRUE(waitUntil(allEnded));
  runFor();
  for (const auto& response : responses) {
    EXPECT_EQ(response->ends, 1);
    EXPECT_FALSE(response->endedWith(grpc::Code::kInvalidArgument)) << response->end->status.message;
  }
  EXPECT_FALSE(atMostOnceRequests.empty());
  for (const std::uint64_t seed : atMostOnceRequests) EXPECT_LE(runs[seed], 1) << "request " << seed;
  EXPECT_GT(node->core().counters().served, 20u);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

TEST_F(NodeTest, ReloadWithMissingEngineListChangesNothing) {
  startWithTwoEngines();
  const std::string fleet = "<fleet file='" + (folder / "nowhere.xml").string() + "'/>";
  EXPECT_THROW(node->reload(config::parseSettings(migratedSettings(fleet), "migrated.xml")),
               config::InvalidFile);
  EXPECT_EQ(node->settings().classes.size(), 2u);
  EXPECT_EQ(node->settings().policy.routerCount, 1);
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk));
}

}  // namespace
}  // namespace gannetcourse::node
