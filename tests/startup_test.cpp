// A node is ready in time, with or without a list of engines. In stepped time.
#include "endings_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class StartupTest : public EndingsTest {};

TEST_F(StartupTest, ANodeIsReadyOnceDiscoveryHasAnsweredOrTimedOut) {
  startNode();
  runUntilIdle();
  const auto early = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(early), 503);
  announceEngineStates(8, "up", "draining");
  const auto head = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(head), 200);
  node.reset();
  startNode();  // and where it is silent
  advance(0.5);
  const auto later = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(later), 200);
}

// A change must have reached the node after 6 s, and a node that is not ready after 30 s has failed to
// start.
TEST_F(StartupTest, ANodeWithoutAnyListIsReadyInTimeAndRejects) {
  discovery.listener.rejectConnections(true);
  startNode([](Json& json) { json.erase("known"); });
  advance(3);
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  advance(3);
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 200);
  const auto refused = sendFromNewClient(chatRequest("early"));
  advance(1.5);
  EXPECT_EQ(statusOf(refused), 503);
  EXPECT_TRUE(refused->hasReceived("Retry-After"));
}

TEST_F(StartupTest, AKnownListThatCannotBeReadLeavesRequestsToBeRejectedInTime) {
  discovery.listener.rejectConnections(true);
  startNode([](Json& json) { json["known"] = {{"index", "x"}, {"endpoints", 5}}; });
  const auto refused = sendFromNewClient(chatRequest("no-list"));
  advance(1.5);
  EXPECT_EQ(statusOf(refused), 503);
}

}  // namespace
}  // namespace gannetcourse::platform
