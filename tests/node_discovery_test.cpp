// Tests of a node that receives its engine list from a registry.
#include <gtest/gtest.h>

#include "gannetcourse/v1/registry.pb.h"
#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

// A registry that sends `first` as the first message of each watch.
struct ScriptedRegistry {
  explicit ScriptedRegistry(net::Loop& loop, std::uint16_t port = 0) : server(loop, {"127.0.0.1", port}) {
    server.handle("/gannetcourse.v1.Registry/Watch", [this](const ServerCall& call, std::string_view) {
      ++watches;
      watch = call;
      if (!first.entries().empty() || sendEmpty) call->send(first.SerializeAsString());
    });
  }
  static void add(v1::EngineList& list, const ScriptedEngine& engine, v1::EngineEntry::Role role,
                  v1::EngineEntry::State state = v1::EngineEntry::SERVING) {
    auto* entry = list.add_entries();
    entry->set_id(engine.id);
    entry->set_address("127.0.0.1:" + std::to_string(engine.server.port()));
    entry->set_role(role);
    entry->set_zone("north");
    entry->set_state(state);
  }
  grpc::Server server;
  v1::EngineList first;
  bool sendEmpty = false;  // sends `first` even if it lists no engine
  int watches = 0;
  ServerCall watch;
};

// Guards against a node that subscribes only once, at its start.
TEST_F(NodeTest, ConnectsToRegistryThatStartsAfterNode) {
  std::uint16_t port = 0;
  {
    ScriptedRegistry unused(loop);
    port = unused.server.port();
  }
  start("<fleet registry='127.0.0.1:" + std::to_string(port) + "'/>");
  runFor();
  EXPECT_EQ(node->engineCount(), 0u);
  ScriptedRegistry registry(loop, port);
  registry.first.set_full(true);
  ScriptedRegistry::add(registry.first, prefillEngine, v1::EngineEntry::PREFILL);
  ScriptedRegistry::add(registry.first, decodeEngine, v1::EngineEntry::DECODE);
  ASSERT_TRUE(waitUntil([&] { return node->engineCount() == 2; }));
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk));
}

TEST_F(NodeTest, RejectsRequestsWhileEngineListIsEmpty) {
  ScriptedRegistry registry(loop);
  registry.first.set_full(true);
  registry.sendEmpty = true;
  start("<fleet registry='127.0.0.1:" + std::to_string(registry.server.port()) + "'/>");
  ASSERT_TRUE(waitUntil([&] { return registry.watches == 1; }));
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_EQ(response->finalStatus(), "refused");
}

TEST_F(NodeTest, SendsNoNewRequestToDrainingEngine) {
  ScriptedEngine other(loop, 3);
  ScriptedRegistry registry(loop);
  registry.first.set_full(true);
  ScriptedRegistry::add(registry.first, prefillEngine, v1::EngineEntry::PREFILL);
  ScriptedRegistry::add(registry.first, decodeEngine, v1::EngineEntry::DECODE);
  ScriptedRegistry::add(registry.first, other, v1::EngineEntry::DECODE);
  start("<fleet registry='127.0.0.1:" + std::to_string(registry.server.port()) + "'/>");
  ASSERT_TRUE(waitUntil([&] { return node->engineCount() == 3; }));
  v1::EngineList change;
  ScriptedRegistry::add(change, decodeEngine, v1::EngineEntry::DECODE, v1::EngineEntry::DRAINING);
  registry.watch->send(change.SerializeAsString());
  runFor();
  for (int i = 0; i < 6; ++i) {
    const auto response = generate();
    ASSERT_TRUE(waitForEnd(response));
    EXPECT_TRUE(response->endedWith(grpc::Code::kOk));
  }
  EXPECT_EQ(decodeEngine.decodes, 0);
  EXPECT_EQ(other.decodes, 6);
}

// If the registry fails, a running node must keep its engines, and a node that starts must use the cached
// list.
TEST_F(NodeTest, KeepsEngineListAndReopensWatchWhenWatchBreaks) {
  ScriptedRegistry registry(loop);
  registry.first.set_full(true);
  ScriptedRegistry::add(registry.first, prefillEngine, v1::EngineEntry::PREFILL);
  ScriptedRegistry::add(registry.first, decodeEngine, v1::EngineEntry::DECODE);
  const std::string cacheFile = (folder / "saved.xml").string();
  const std::string source = "<fleet registry='127.0.0.1:" + std::to_string(registry.server.port()) +
                             "' saved='" + cacheFile + "'/>";
  start(source);
  ASSERT_TRUE(waitUntil([&] { return node->engineCount() == 2; }));
  registry.server.abortAll();
  runFor(0.1);
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << "the node must keep using the last engine list";
  EXPECT_TRUE(waitUntil([&] { return registry.watches == 2; }));
  // A node that starts while the registry is down uses the cached list.
  channel.reset();
  node.reset();
  registry.server.rejectConnections(true);
  start(source);
  EXPECT_EQ(node->engineCount(), 2u);
  const auto again = generate();
  ASSERT_TRUE(waitForEnd(again));
  EXPECT_TRUE(again->endedWith(grpc::Code::kOk));
}

}  // namespace
}  // namespace gannetcourse::node
