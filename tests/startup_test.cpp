// Tests that a node becomes ready in time, with or without an engine list, in simulated time.
#include "endings_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class StartupTest : public EndingsTest {};

TEST_F(StartupTest, BecomesReadyWhenDiscoveryAnswersOrTimesOut) {
  startNode();
  runUntilIdle();
  const auto early = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(early), 503);
  announceEngineStates(8, "up", "draining");
  const auto answered = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(answered), 200);
  node.reset();
  startNode();  // this time discovery stays silent
  advance(0.5);
  const auto timedOut = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(timedOut), 200);
}

// Without any list a node becomes ready after 6 s, by which time a change must have reached it. A node that
// is not ready after 30 s counts as failed to start.
TEST_F(StartupTest, BecomesReadyAndRejectsRequestsWithoutAnyList) {
  discovery.listener.rejectConnections(true);
  startNode([](Json& json) { json.erase("known"); });
  advance(3);
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  advance(3);
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 200);
  const auto rejected = sendFromNewClient(chatRequest("early"));
  advance(1.5);
  EXPECT_EQ(statusOf(rejected), 503);
  EXPECT_TRUE(rejected->hasReceived("Retry-After"));
}

TEST_F(StartupTest, RejectsRequestsWhenConfiguredListIsMalformed) {
  discovery.listener.rejectConnections(true);
  startNode([](Json& json) { json["known"] = {{"index", "x"}, {"endpoints", 5}}; });
  const auto rejected = sendFromNewClient(chatRequest("no-list"));
  advance(1.5);
  EXPECT_EQ(statusOf(rejected), 503);
}

}  // namespace
}  // namespace gannetcourse::platform
