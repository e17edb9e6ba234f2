// System calls that fail for a moment, in the ways that Linux documents: no crash, no lost request, and no
// engine that is blamed for it.
#include <cerrno>

#include "discovery/engine_list_cache.h"
#include "discovery/engine_list_file.h"
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
  void connectAndSend(RawSocket& client, const std::string& id) {
    ASSERT_TRUE(client.connect(node->port()));
    client.send(chatRequest(id));
  }
};

// Counts the ends that are reported.
class CountingResponseHandler final : public http1::ResponseHandler {
 public:
  void onHead(const http1::ResponseHead&) override {}
  void onBody(std::string_view) override {}
  void onEnd(http1::CallResult how, const std::string&) override {
    last = how;
    ++ends;
  }
  int ends = 0;
  http1::CallResult last = http1::CallResult::kComplete;
};

TEST_F(SystemCallsTest, AnAcceptedConnectionThatCannotBeWatchedAtOnceIsAnswered) {
  startNode();
  runUntilIdle();
  RawSocket client;
  connectAndSend(client, "unwatched");
  fail(FaultyCall::kWatch, ENOMEM, 3);
  std::string got;
  EXPECT_TRUE(
      becomesTrueWithin(2, [&] { return (got += client.receive()).find("0\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(rule(FaultyCall::kWatch).failed, 3U);
}

// A process may start in just such a moment.
TEST_F(SystemCallsTest, ALoopThatCannotWatchItsWakeUpAtOnceHearsPostsLater) {
  fail(FaultyCall::kWatch, ENOMEM, 3);
  net::Loop late;
  for (int i = 0; i < 2000 && late.failedWatches() < 3; ++i) late.runOnce(Duration(0.01));
  EXPECT_EQ(late.failedWatches(), 3U);
  late.runOnce(Duration(0.1));  // tried once more, and taken
  late.post([] {});
  const Instant before = net::monotonicNow();
  late.runOnce(Duration(kTimeoutSeconds));
  EXPECT_LT(net::monotonicNow() - before, Duration(kTimeoutSeconds / 2)) << "the post has woken it";
}

// A shortage of the machine differs from a file that is missing: a start waits for its end.
TEST_F(SystemCallsTest, AConfigurationThatCannotBeOpenedForAMomentIsNoBadOne) {
  const std::string path = "/proc/self/status";
  const auto faultOf = [&](int error) -> std::string {
    fail(FaultyCall::kOpen, error, 1);
    try {
      loadConfiguration(path);
    } catch (const std::system_error& fault) {
      return fault.code().value() == error ? "for a moment" : fault.what();
    } catch (const std::runtime_error&) {
      return "for good";
    }
    return "none";
  };
  for (const int error : {EMFILE, ENFILE, ENOMEM, EINTR}) EXPECT_EQ(faultOf(error), "for a moment") << error;
  for (const int error : {ENOENT, EACCES}) EXPECT_EQ(faultOf(error), "for good") << error;
}

TEST_F(SystemCallsTest, ACallWhoseConnectFailsAtOnceMayBeCancelledLater) {
  http1::Client client(loop, {});
  const auto sink = std::make_shared<CountingResponseHandler>();
  fail(FaultyCall::kConnect, ECONNREFUSED, 1);
  const http1::CallId call = client.start(
      {"127.0.0.1", 1}, [] { return std::string(); }, nullptr, sink);
  advance(0.1);
  EXPECT_EQ(sink->ends, 1);
  EXPECT_EQ(sink->last, http1::CallResult::kNotConnected);
  client.cancel(call);
  advance(0.1);
  EXPECT_EQ(sink->ends, 1);
}

TEST_F(SystemCallsTest, NothingIsReportedOfACallThatIsCancelledInTheIterationInWhichItFailed) {
  http1::Client client(loop, {});
  const auto sink = std::make_shared<CountingResponseHandler>();
  fail(FaultyCall::kConnect, ECONNREFUSED, 1);
  client.cancel(client.start(
      {"127.0.0.1", 1}, [] { return std::string(); }, nullptr, sink));
  advance(0.1);
  EXPECT_EQ(sink->ends, 0);
}

// Nothing is wrong with the engines: their connections wait until this machine can open one.
TEST_F(SystemCallsTest, ConnectionsThatThisMachineCannotOpenForAMomentAreOpenedAfterIt) {
  startNode();
  runUntilIdle();
  const struct {
    FaultyCall call;
    int error;
  } kFaults[] = {{FaultyCall::kSocket, EMFILE},       {FaultyCall::kSocket, ENFILE},
                 {FaultyCall::kSocket, ENOBUFS},      {FaultyCall::kConnect, EADDRNOTAVAIL},
                 {FaultyCall::kConnect, ENETUNREACH}, {FaultyCall::kConnect, EAGAIN}};
  for (const auto& fault : kFaults) {
    for (const auto& peer : prefillEngine.peers) peer->connection.close();
    for (const auto& peer : decodeEngine.peers) peer->connection.close();
    runUntilIdle();
    RawSocket client;
    ASSERT_TRUE(client.connect(node->port()));
    runUntilIdle();
    fail(fault.call, fault.error);
    client.send(chatRequest("moment-" + std::to_string(fault.error)));
    advance(0.1);
    EXPECT_GT(rule(fault.call).failed, 0U);
    heal();
    std::string got;
    becomesTrueWithin(1, [&] { return (got += client.receive()).find("0\r\n\r\n") != std::string::npos; });
    EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200") << fault.error;
  }
  EXPECT_EQ(attemptCount(prefillEngine), std::size(kFaults));
}

// The connection still comes up, as after EINPROGRESS.
TEST_F(SystemCallsTest, AConnectThatASignalInterruptsGoesOn) {
  http1::Client client(loop, {});
  const auto sink = std::make_shared<CountingResponseHandler>();
  RawSocket listener;
  sockaddr_in address = RawSocket::loopback(0);
  socklen_t size = sizeof address;
  ASSERT_EQ(::bind(listener.fd(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  ASSERT_EQ(::listen(listener.fd(), 1), 0);
  getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  soak::faultPlan().interruptedConnects = 1;
  client.start(
      {"127.0.0.1", ntohs(address.sin_port)}, [] { return std::string("GET / HTTP/1.1\r\n\r\n"); }, nullptr,
      sink);
  advance(0.05);
  RawSocket accepted(::accept(listener.fd(), nullptr, nullptr));
  EXPECT_EQ(accepted.receive().substr(0, 3), "GET");
  EXPECT_EQ(sink->ends, 0);
}

// Closing the listener would reset what stands in its queue.
TEST_F(SystemCallsTest, AnAcceptThatFailsAsTheListenerClosesIsTriedAgain) {
  for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EHOSTUNREACH}) {
    http1::Server server(loop, {}, {}, [](const std::shared_ptr<http1::Exchange>& exchange) {
      exchange->respond(503, "", "", true);
    });
    RawSocket late;
    ASSERT_TRUE(late.connect(server.port()));
    late.send("GET / HTTP/1.1\r\n\r\n");
    fail(FaultyCall::kAccept, error, 2);
    server.shutdown();
    advance(0.5);
    EXPECT_EQ(late.receive().substr(0, 12), "HTTP/1.1 503") << error;
    late.close();
    EXPECT_TRUE(becomesTrueWithin(2, [&] { return server.busyCount() == 0; })) << error;
    heal();
  }
}

// A list that was saved completely stays, whatever fails as the next one is saved; what fails is counted.
TEST_F(SystemCallsTest, ASavedListIsReplacedByAWholeOneOrNotAtAll) {
  const auto path =
      std::filesystem::temp_directory_path() / ("gannetcourse-saved-" + std::to_string(getpid()));
  const auto saved = [&] {
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
  };
  const struct {
    FaultyCall call;
    int error;
  } kFaults[] = {{FaultyCall::kWrite, ENOSPC}, {FaultyCall::kSync, EIO}, {FaultyCall::kRename, EACCES}};
  std::ofstream(path) << "before";
  for (const auto& fault : kFaults) {
    fail(fault.call, fault.error);
    std::uint64_t failures = 0;
    {
      discovery::EngineListCache list(path);
      list.save("after, and longer than before");
      for (int i = 0; i < 2000 && (failures = list.failures()) == 0; ++i) usleep(1000);
    }
    heal();
    EXPECT_EQ(failures, 1U) << fault.error;
    EXPECT_EQ(saved(), "before") << fault.error;
  }
  { discovery::EngineListCache(path).save("after"); }
  EXPECT_EQ(saved(), "after");
  std::filesystem::remove(path);
  std::filesystem::remove(path.string() + ".new");
}

}  // namespace
}  // namespace gannetcourse::platform
