// System calls that fail for a moment, in the ways that Linux documents: no crash, no lost request, and no
// engine that is blamed for it.
#include <cerrno>

#include "fault_shim.h"
#include "http1/client.h"
#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;
using soak::FaultyCall;

class SystemCallsTest : public SteppedTest {
 protected:
  ~SystemCallsTest() override { soak::faultPlan() = {}; }

  static soak::FaultRule& rule(FaultyCall call) {
    return soak::faultPlan().rules[static_cast<std::uint32_t>(call)];
  }
  // The next `times` calls of this kind fail.
  static void fail(FaultyCall call, int error, std::uint32_t times = soak::kUnlimited) {
    rule(call) = {error, soak::kAlways, times, 0};
  }
  static void heal() { soak::faultPlan() = {}; }
  // A client that is outside the node's loop, so that the faults are the node's alone.
  void connectAndAsk(RawSocket& client, const std::string& id) {
    ASSERT_TRUE(client.connect(node->port()));
    client.send(ask(id));
  }
};

// Counts what it is told.
class CountingSink final : public http1::CallSink {
 public:
  void head(const http1::ResponseHead&) override {}
  void body(std::string_view) override {}
  void end(http1::End how, const std::string&) override {
    last = how;
    ++ends;
  }
  int ends = 0;
  http1::End last = http1::End::kWhole;
};

TEST_F(SystemCallsTest, AnAcceptedConnectionThatCannotBeWatchedAtOnceIsAnswered) {
  start();
  settle();
  RawSocket client;
  connectAndAsk(client, "unwatched");
  fail(FaultyCall::kWatch, ENOMEM, 3);
  std::string got;
  EXPECT_TRUE(within(2, [&] { return (got += client.receive()).find("0\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(rule(FaultyCall::kWatch).failed, 3U);
}

TEST_F(SystemCallsTest, ACallWhoseConnectFailsAtOnceMayBeCancelledLater) {
  http1::Client client(loop, {});
  const auto sink = std::make_shared<CountingSink>();
  fail(FaultyCall::kConnect, ECONNREFUSED, 1);
  const http1::CallId call = client.start(
      {"127.0.0.1", 1}, [] { return std::string(); }, nullptr, sink);
  pass(0.1);
  EXPECT_EQ(sink->ends, 1);
  EXPECT_EQ(sink->last, http1::End::kNotConnected);
  client.cancel(call);
  pass(0.1);
  EXPECT_EQ(sink->ends, 1);
}

TEST_F(SystemCallsTest, NothingIsToldOfACallThatIsCancelledInTheIterationInWhichItFailed) {
  http1::Client client(loop, {});
  const auto sink = std::make_shared<CountingSink>();
  fail(FaultyCall::kConnect, ECONNREFUSED, 1);
  client.cancel(client.start(
      {"127.0.0.1", 1}, [] { return std::string(); }, nullptr, sink));
  pass(0.1);
  EXPECT_EQ(sink->ends, 0);
}

}  // namespace
}  // namespace gannetcourse::platform
