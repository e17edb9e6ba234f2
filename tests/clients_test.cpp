// Tests that the lab's clients count the responses that they receive over the network.
#include "clients.h"

#include "raw_http2.h"

namespace gannetcourse::lab {
namespace {

using namespace test;

constexpr double kWaitLimit = 10;  // seconds; only reached if the test fails

// A raw HTTP/2 server in the place of a node, which answers the first request with given bytes.
class ClientsTest : public ::testing::Test {
 protected:
  ClientsTest()
      : scenario_(oneClass()),
        ledger_(scenario_.auditRules()),
        testbed_{loop_, ledger_, random_, {"north"}, 250000, 120000, 2, 1, {}, {}, {}, 2.5, 2, {}},
        listener_(loop_, {}, [this](int fd) { peers_.push_back(std::make_unique<RawHttp2Socket>(fd)); }) {}

  static Scenario oneClass() {
    Scenario scenario;
    scenario.classes.emplace_back();
    scenario.classes[0].name = "query";
    scenario.requestsPerSecond = 50;
    return scenario;
  }

  static std::string trailersOnly(const std::string& status) {
    return encodeFrame(
        kHeaders, kEndHeaders | kEndStream, 1,
        encodeHeaderBlock(
            {{":status", "200"}, {"content-type", "application/grpc"}, {"grpc-status", status}}));
  }

  // Sends requests until the server has received one, answers it with `bytes`, and waits until `done` returns
  // true.
  bool answerFirstRequest(const std::string& bytes, const std::function<bool()>& done) {
    Clients clients(testbed_, scenario_, 7);
    clients.addNode("north", {"127.0.0.1", listener_.port()});
    clients.start(testbed_.now() + kWaitLimit);
    bool sent = false;
    const double end = testbed_.now() + kWaitLimit;
    while (!done() && testbed_.now() < end) {
      loop_.runOnce(Duration(0.01));
      for (const auto& peer : peers_) {
        const auto frames = peer->frames();
        if (sent || frames.empty() || frames.back().type != kData) continue;
        sent = true;
        peer->write(encodeFrame(kSettings, 0, 0, "") + bytes);
      }
    }
    return done();
  }

  Scenario scenario_;
  net::Loop loop_;
  Ledger ledger_;
  std::mt19937_64 random_{1};
  Testbed testbed_;
  std::vector<std::unique_ptr<RawHttp2Socket>> peers_;
  net::Listener listener_;
};

// Guards against clients that ignore a second final response on the same stream, because the audit would miss
// it.
TEST_F(ClientsTest, CountsSecondResponseOnSameStream) {
  EXPECT_TRUE(answerFirstRequest(trailersOnly("14") + trailersOnly("14"),
                                 [&] { return ledger_.counts().secondResponses > 0; }));
}

// Guards against false alarms: a single final response must not count as a second one.
TEST_F(ClientsTest, CountsNoSecondResponseIfNodeRespondsOnce) {
  EXPECT_TRUE(answerFirstRequest(trailersOnly("14"), [&] { return ledger_.counts().rejected > 0; }));
  EXPECT_EQ(ledger_.counts().secondResponses, 0U);
}

}  // namespace
}  // namespace gannetcourse::lab
