// System calls that fail temporarily with errors that Linux documents. The node must not crash or lose a
// request, and must not count the failure against an engine.
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
  static void injectFault(FaultyCall call, int error, std::uint32_t times = soak::kUnlimited) {
    rule(call) = {error, soak::kAlways, times, 0};
  }
  static void clearFaults() { soak::faultPlan() = {}; }
  // Sends a request on a socket outside the node's loop, so that injected faults affect the node only.
  void connectAndSend(RawSocket& client, const std::string& id) {
    ASSERT_TRUE(client.connect(node->port()));
    client.send(chatRequest(id));
  }
};

// Counts the calls of onEnd() and keeps the last result.
class CountingResponseHandler final : public http1::ResponseHandler {
 public:
  void onHead(const http1::ResponseHead&) override {}
  void onBody(std::string_view) override {}
  void onEnd(http1::CallResult result, const std::string&) override {
    lastResult = result;
    ++ends;
  }
  int ends = 0;
  http1::CallResult lastResult = http1::CallResult::kComplete;
};

// epoll_ctl() fails with ENOMEM for an accepted connection; without a retry its request would never be read.
TEST_F(SystemCallsTest, AnswersConnectionWhoseEpollRegistrationFailsTemporarily) {
  startNode();
  runUntilIdle();
  RawSocket client;
  connectAndSend(client, "unwatched");
  injectFault(FaultyCall::kWatch, ENOMEM, 3);
  std::string got;
  EXPECT_TRUE(
      becomesTrueWithin(2, [&] { return (got += client.receive()).find("0\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(rule(FaultyCall::kWatch).failed, 3U);
}

// epoll_ctl() fails for the loop's own eventfd, because the process starts while memory is short; without a
// retry post() would never wake the loop.
TEST_F(SystemCallsTest, PostWakesLoopWhoseEventfdRegistrationFailedTemporarily) {
  injectFault(FaultyCall::kWatch, ENOMEM, 3);
  net::Loop newLoop;
  for (int i = 0; i < 2000 && newLoop.failedWatches() < 3; ++i) newLoop.runOnce(Duration(0.01));
  EXPECT_EQ(newLoop.failedWatches(), 3U);
  newLoop.runOnce(Duration(0.1));  // the next retry succeeds
  newLoop.post([] {});
  const Instant before = net::monotonicNow();
  newLoop.runOnce(Duration(kTimeoutSeconds));
  EXPECT_LT(net::monotonicNow() - before, Duration(kTimeoutSeconds / 2)) << "post() did not wake the loop";
}

// A start waits until a shortage of resources has passed, but must fail at once if the file cannot be read at
// all. The type of the exception distinguishes the two cases.
TEST_F(SystemCallsTest, DistinguishesTemporaryAndPermanentErrorsOfOpeningTheConfiguration) {
  const std::string path = "/proc/self/status";
  const auto errorKindOf = [&](int error) -> std::string {
    injectFault(FaultyCall::kOpen, error, 1);
    try {
      loadConfiguration(path);
    } catch (const std::system_error& fault) {
      return fault.code().value() == error ? "temporary" : fault.what();
    } catch (const std::runtime_error&) {
      return "permanent";
    }
    return "none";
  };
  for (const int error : {EMFILE, ENFILE, ENOMEM, EINTR}) EXPECT_EQ(errorKindOf(error), "temporary") << error;
  for (const int error : {ENOENT, EACCES}) EXPECT_EQ(errorKindOf(error), "permanent") << error;
}

// The failed call is no longer known to the client when its owner cancels it.
TEST_F(SystemCallsTest, CancelAfterFailedConnectHasNoEffect) {
  http1::Client client(loop, {});
  const auto handler = std::make_shared<CountingResponseHandler>();
  injectFault(FaultyCall::kConnect, ECONNREFUSED, 1);
  const http1::CallId call = client.start(
      {"127.0.0.1", 1}, [] { return std::string(); }, nullptr, handler);
  advance(0.1);
  EXPECT_EQ(handler->ends, 1);
  EXPECT_EQ(handler->lastResult, http1::CallResult::kNotConnected);
  client.cancel(call);
  advance(0.1);
  EXPECT_EQ(handler->ends, 1);
}

// onEnd() of the failed call is already scheduled when its owner cancels it.
TEST_F(SystemCallsTest, DoesNotReportFailedCallThatIsCancelledInTheSameIteration) {
  http1::Client client(loop, {});
  const auto handler = std::make_shared<CountingResponseHandler>();
  injectFault(FaultyCall::kConnect, ECONNREFUSED, 1);
  client.cancel(client.start(
      {"127.0.0.1", 1}, [] { return std::string(); }, nullptr, handler));
  advance(0.1);
  EXPECT_EQ(handler->ends, 0);
}

// Local shortages of descriptors, buffers, ports or routes must not fail a request or count against an
// engine: connecting is retried.
TEST_F(SystemCallsTest, OpensEngineConnectionAfterTemporaryLocalFault) {
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
    injectFault(fault.call, fault.error);
    client.send(chatRequest("moment-" + std::to_string(fault.error)));
    advance(0.1);
    EXPECT_GT(rule(fault.call).failed, 0U);
    clearFaults();
    std::string got;
    becomesTrueWithin(1, [&] { return (got += client.receive()).find("0\r\n\r\n") != std::string::npos; });
    EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 200") << fault.error;
  }
  EXPECT_EQ(attemptCount(prefillEngine), std::size(kFaults));
}

// After EINTR the kernel continues to connect, as after EINPROGRESS; treating it as a failure loses the call.
TEST_F(SystemCallsTest, CompletesConnectThatASignalInterrupts) {
  http1::Client client(loop, {});
  const auto handler = std::make_shared<CountingResponseHandler>();
  RawSocket listener;
  sockaddr_in address = RawSocket::loopback(0);
  socklen_t size = sizeof address;
  ASSERT_EQ(::bind(listener.fd(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  ASSERT_EQ(::listen(listener.fd(), 1), 0);
  getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  soak::faultPlan().interruptedConnects = 1;
  client.start(
      {"127.0.0.1", ntohs(address.sin_port)}, [] { return std::string("GET / HTTP/1.1\r\n\r\n"); }, nullptr,
      handler);
  advance(0.05);
  RawSocket accepted(::accept(listener.fd(), nullptr, nullptr));
  EXPECT_EQ(accepted.receive().substr(0, 3), "GET");
  EXPECT_EQ(handler->ends, 0);
}

// accept() fails during a shutdown. Closing the listener at once would reset the connections in its queue.
TEST_F(SystemCallsTest, ShutdownRetriesFailedAcceptBeforeClosingListener) {
  for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EHOSTUNREACH}) {
    http1::Server server(loop, {}, {}, [](const std::shared_ptr<http1::Exchange>& exchange) {
      exchange->respond(503, "", "", true);
    });
    RawSocket lateClient;
    ASSERT_TRUE(lateClient.connect(server.port()));
    lateClient.send("GET / HTTP/1.1\r\n\r\n");
    injectFault(FaultyCall::kAccept, error, 2);
    server.shutdown();
    advance(0.5);
    EXPECT_EQ(lateClient.receive().substr(0, 12), "HTTP/1.1 503") << error;
    lateClient.close();
    EXPECT_TRUE(becomesTrueWithin(2, [&] { return server.busyCount() == 0; })) << error;
    clearFaults();
  }
}

// A failure to write, sync or rename the new file must not damage the saved engine list, and must be counted.
TEST_F(SystemCallsTest, KeepsSavedEngineListIfSavingTheNextOneFails) {
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
    injectFault(fault.call, fault.error);
    std::uint64_t failures = 0;
    {
      discovery::EngineListCache list(path);
      list.save("after, and longer than before");
      for (int i = 0; i < 2000 && (failures = list.failures()) == 0; ++i) usleep(1000);
    }
    clearFaults();
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
