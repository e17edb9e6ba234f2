// The hard cases end to end on loopback: a whole node, scripted engines, a client. Each waits for what must
// happen, with a bound that only a broken program reaches.
#include "node/node.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/engine.pb.h"
#include "gannetcourse/v1/health.pb.h"
#include "gannetcourse/v1/registry.pb.h"
#include "grpc/channel.h"
#include "grpc/server.h"
#include "node/node.h"

namespace gannetcourse::node {
namespace {

constexpr double kBound = 20;  // seconds

template <class Message>
Message parsed(std::string_view bytes) {
  Message message;
  EXPECT_TRUE(message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
  return message;
}

using Call = std::shared_ptr<grpc::ServerCall>;

// An engine whose answers the test scripts; by default it reads and writes at once.
struct ScriptedEngine {
  explicit ScriptedEngine(net::Loop& loop, std::uint32_t number, std::uint16_t port = 0)
      : id(number), server(loop, {"127.0.0.1", port}) {
    server.handle("/gannetcourse.v1.Engine/Prefill", [this](const Call& call, std::string_view bytes) {
      ++reads;
      calls.push_back(call);
      call->onCancelled = [this] { ++cancelled; };
      const auto ask = parsed<v1::PrefillRequest>(bytes);
      if (onRead) return onRead(call, ask);
      answerRead(call);
    });
    server.handle("/gannetcourse.v1.Engine/Decode", [this](const Call& call, std::string_view bytes) {
      ++writes;
      calls.push_back(call);
      call->onCancelled = [this] { ++cancelled; };
      const auto ask = parsed<v1::DecodeRequest>(bytes);
      if (onWrite) return onWrite(call, ask);
      token(call, 0, "one ");
      token(call, 1, "two");
      call->finish({});
    });
    server.handle("/gannetcourse.v1.Engine/Fence", [this](const Call& call, std::string_view) {
      ++fences;
      call->send(v1::FenceReply().SerializeAsString());
      call->finish({});
    });
    server.handle("/gannetcourse.v1.Engine/Release", [this](const Call& call, std::string_view) {
      ++releases;
      if (releasesToFail-- > 0) return call->finish({grpc::Code::kUnavailable, "not now"});
      call->send("");
      call->finish({});
    });
  }

  static void answerRead(const Call& call) {
    v1::PrefillReply reply;
    reply.set_state("state");
    call->send(reply.SerializeAsString());
    call->finish({});
  }
  static void token(const Call& call, std::uint32_t index, const std::string& text) {
    v1::DecodeToken message;
    message.set_index(index);
    message.set_text(text);
    call->send(message.SerializeAsString());
  }

  std::uint32_t id;
  grpc::Server server;
  int reads = 0, writes = 0, releases = 0, cancelled = 0, fences = 0, releasesToFail = 0;
  std::vector<Call> calls;
  std::function<void(const Call&, const v1::PrefillRequest&)> onRead;
  std::function<void(const Call&, const v1::DecodeRequest&)> onWrite;
};

struct Asked {
  std::shared_ptr<grpc::ClientCall> call;
  std::vector<std::string> tokens;
  std::string resume;
  std::optional<grpc::CallEnd> end;
  int ends = 0;
  bool ended(grpc::Code code) const {
    return end && end->kind == grpc::CallEnd::Kind::kStatus && end->status.code == code;
  }
  std::string verdict() const {
    const std::string* told = end ? http2::find(end->trailers, "gannetcourse-verdict") : nullptr;
    return told == nullptr ? "" : *told;
  }
};

class NodeTest : public ::testing::Test {
 protected:
  NodeTest()
      : folder(std::filesystem::temp_directory_path() / ("gannetcourse-test-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder);
  }
  ~NodeTest() override { std::filesystem::remove_all(folder); }

  std::string writeFleet(const std::vector<std::pair<ScriptedEngine*, const char*>>& engines) {
    std::string text = "<fleet xmlns='urn:gannetcourse:fleet:1'>";
    for (const auto& [engine, role] : engines) {
      text += "<engine id='" + std::to_string(engine->id) +
              "' address='127.0.0.1:" + std::to_string(engine->server.port()) + "' role='" + role +
              "' zone='north' memory-tokens='100000'/>";
    }
    const std::string path = (folder / "fleet.xml").string();
    std::ofstream(path) << text << "</fleet>";
    return path;
  }

  static std::string settingsText(const std::string& fleet, const std::string& extra = "") {
    return "<gannetcourse xmlns='urn:gannetcourse:settings:1'><node name='n1' zone='north'/>"
           "<listen grpc='127.0.0.1:0' stream-buffer='8KiB' max-metadata='2KiB' max-message='64KiB'/>"
           "<zones><zone name='north'/></zones><classes>"
           "<class name='query' aim='1s' token-aim='60ms' first-token-within='6s' max-prompt-tokens='5000'/>"
           "<class name='order' aim='1s' first-token-within='6s' effect='unsafe'/></classes>"
           "<limits max-attempts='6' answer-margin='200ms'/>" +
           fleet + extra + "</gannetcourse>";
  }

  void start(const std::string& fleet, const std::string& extra = "", const std::string& life = "t") {
    Node::Hooks hooks;
    hooks.onRecord = [this](const router::Record& record) { records.push_back(record); };
    hooks.log = [this](const std::string&, const std::string&, const std::string& text) {
      logged.push_back(text);
    };
    node = std::make_unique<Node>(loop, config::parseSettings(settingsText(fleet, extra), "node.xml"), life,
                                  hooks);
    grpc::ChannelOptions options;
    options.http2.streamWindow = 4096;
    channel = std::make_unique<grpc::Channel>(loop, net::Endpoint{"127.0.0.1", node->port()}, options);
  }

  void startWithPair() {
    start("<fleet file='" + writeFleet({{&reader, "prefill"}, {&writer, "decode"}}) + "'/>");
  }

  static v1::GenerateRequest query() {
    v1::GenerateRequest ask;
    ask.set_request_class("query");
    ask.set_prompt("why?");
    ask.set_prompt_tokens(100);
    ask.set_max_output_tokens(10);
    return ask;
  }

  std::shared_ptr<Asked> ask(const v1::GenerateRequest& request = query(), Duration timeout = Duration(10)) {
    auto asked = std::make_shared<Asked>();
    asked->call = channel->start("/gannetcourse.v1.Chat/Generate", request.SerializeAsString(), timeout);
    asked->call->onMessage = [asked](std::string_view bytes) {
      const auto token = parsed<v1::GenerateToken>(bytes);
      asked->tokens.push_back(token.text());
      if (!token.resume().empty()) asked->resume = token.resume();
    };
    asked->call->onEnd = [asked](const grpc::CallEnd& end) {
      asked->end = end;
      ++asked->ends;
    };
    return asked;
  }

  template <class Done>
  bool until(const Done& done, double bound = kBound) {
    const Instant end = net::monotonicNow() + Duration(bound);
    while (!done() && net::monotonicNow() < end) loop.runOnce(Duration(0.05));
    return done();
  }
  void settle(double seconds = 0.3) {
    until([] { return false; }, seconds);
  }

  std::filesystem::path folder;
  net::Loop loop;
  ScriptedEngine reader{loop, 1}, writer{loop, 2};
  std::vector<router::Record> records;
  std::vector<std::string> logged;
  std::unique_ptr<Node> node;
  std::unique_ptr<grpc::Channel> channel;
};

TEST_F(NodeTest, CarriesAnAnswerFromEndToEnd) {
  startWithPair();
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << asked->end->status.message;
  EXPECT_EQ(asked->verdict(), "served");
  EXPECT_EQ(asked->tokens, (std::vector<std::string>{"one ", "two"}));
  settle();
  EXPECT_EQ(reader.reads, 1);
  EXPECT_EQ(writer.writes, 1);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

TEST_F(NodeTest, NamesTheFieldThatIsWrong) {
  startWithPair();
  struct Case {
    void (*spoil)(v1::GenerateRequest&);
    const char* names;
  };
  const Case cases[] = {
      {[](v1::GenerateRequest& r) { r.set_request_class("nobody"); }, "request_class"},
      {[](v1::GenerateRequest& r) { r.set_tenant("stranger"); }, "tenant"},
      {[](v1::GenerateRequest& r) { r.set_prompt_tokens(5001); }, "prompt_tokens"},
      {[](v1::GenerateRequest& r) { r.clear_prompt(); }, "prompt"},
      {[](v1::GenerateRequest& r) { r.set_max_output_tokens(100000); }, "max_output_tokens"},
      {[](v1::GenerateRequest& r) { r.set_prefix_tokens(101); }, "prefix_tokens"},
  };
  for (const Case& c : cases) {
    v1::GenerateRequest request = query();
    c.spoil(request);
    const auto asked = ask(request);
    ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
    EXPECT_TRUE(asked->ended(grpc::Code::kInvalidArgument)) << c.names;
    EXPECT_EQ(asked->end->status.message.rfind(c.names, 0), 0u) << asked->end->status.message;
  }
  const auto unbounded = std::make_shared<Asked>();
  unbounded->call = channel->start("/gannetcourse.v1.Chat/Generate", query().SerializeAsString());
  unbounded->call->onEnd = [unbounded](const grpc::CallEnd& end) { unbounded->end = end; };
  ASSERT_TRUE(until([&] { return unbounded->end.has_value(); }));
  EXPECT_TRUE(unbounded->ended(grpc::Code::kInvalidArgument));
  EXPECT_NE(unbounded->end->status.message.find("grpc-timeout"), std::string::npos);
  const auto past = ask(query(), Duration(0.05));
  ASSERT_TRUE(until([&] { return past->end.has_value(); }));
  EXPECT_TRUE(past->ended(grpc::Code::kDeadlineExceeded));
  EXPECT_EQ(reader.reads, 0);
  EXPECT_EQ(node->core().counters().accepted, 0u) << "what is wrong is not taken";
}

TEST_F(NodeTest, AWriterThatGoesSilentMidStreamIsEndedInTime) {
  startWithPair();
  writer.onWrite = [](const Call& call, const v1::DecodeRequest&) { ScriptedEngine::token(call, 0, "one "); };
  const auto asked = ask(query(), Duration(2));
  const Instant from = net::monotonicNow();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kDeadlineExceeded));
  EXPECT_GE((net::monotonicNow() - from).count(), 1.0) << "not before its time";
  EXPECT_EQ(asked->tokens.size(), 1u);
  EXPECT_TRUE(until([&] { return writer.cancelled == 1; })) << "the engine's call is called off";
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

TEST_F(NodeTest, AClientThatCancelsWhileAFurtherAttemptIsPending) {
  startWithPair();
  int errors = 0;
  reader.onRead = [&](const Call& call, const v1::PrefillRequest&) {
    if (errors++ == 0) return call->finish({grpc::Code::kInternal, "first"});
    // The second read stays out.
  };
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return reader.reads == 2; }));
  asked->call->cancel();
  EXPECT_TRUE(until([&] { return reader.cancelled == 1 && reader.releases == 1; }));
  settle();
  EXPECT_EQ(reader.reads, 2) << "nothing is sent for it after";
  EXPECT_EQ(asked->ends, 1);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

// No writer takes the state, and its reader does not take the release at once.
TEST_F(NodeTest, AReleaseThatItsEngineDoesNotTakeIsSentAgain) {
  startWithPair();
  writer.onWrite = [](const Call& call, const v1::DecodeRequest&) {
    call->finish({grpc::Code::kResourceExhausted, "full"});
  };
  constexpr int kFail = 2;
  reader.releasesToFail = kFail;
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(until([&] { return reader.releases == reader.reads + kFail; }));
  settle();
  EXPECT_EQ(reader.releases, reader.reads + kFail);
}

TEST_F(NodeTest, AnEngineThatAnswersAfterItsCallWasCalledOff) {
  startWithPair();
  Call held;
  reader.onRead = [&](const Call& call, const v1::PrefillRequest&) { held = call; };
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  asked->call->cancel();
  ASSERT_TRUE(until([&] { return reader.cancelled == 1; }));
  ScriptedEngine::answerRead(held);
  settle();
  EXPECT_EQ(writer.writes, 0);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

TEST_F(NodeTest, AConnectionThatBreaksBetweenRequestAndFirstAnswer) {
  startWithPair();
  reader.onRead = [&](const Call& call, const v1::PrefillRequest&) {
    if (reader.reads == 1) return loop.defer([this] { reader.server.abortAll(); });
    ScriptedEngine::answerRead(call);
  };
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << "a read has no effect: it is tried again";
  EXPECT_EQ(reader.reads, 2);
  EXPECT_EQ(asked->tokens.size(), 2u);
}

TEST_F(NodeTest, AnUnsafeRequestThatMayHaveRunIsNotSentAgain) {
  startWithPair();
  writer.onWrite = [&](const Call&, const v1::DecodeRequest&) {
    loop.defer([this] { writer.server.abortAll(); });
  };
  v1::GenerateRequest order = query();
  order.set_request_class("order");
  const auto asked = ask(order);
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kAborted));
  EXPECT_EQ(asked->verdict(), "failed");
  settle();
  EXPECT_EQ(writer.writes, 1);
}

TEST_F(NodeTest, ARefusalCarriesRetryAdvice) {
  start("<fleet file='" + writeFleet({}) + "'/>");
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kUnavailable)) << asked->end->status.message;
  EXPECT_EQ(asked->verdict(), "refused");
  const std::string* advice = http2::find(asked->end->trailers, "grpc-retry-pushback-ms");
  ASSERT_NE(advice, nullptr);
  EXPECT_GT(std::stoi(*advice), 0);
}

TEST_F(NodeTest, AReaderThatIsGoneIsPassedOver) {
  ScriptedEngine other(loop, 3);
  start("<fleet file='" + writeFleet({{&reader, "prefill"}, {&other, "prefill"}, {&writer, "decode"}}) +
        "'/>");
  reader.server.refuse(true);
  for (int i = 0; i < 4; ++i) {
    const auto asked = ask();
    ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
    EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << asked->end->status.message;
  }
  EXPECT_EQ(other.reads, 4);
}

TEST_F(NodeTest, GoawayWithCallsInFlightLosesNothing) {
  startWithPair();
  Call held;
  writer.onWrite = [&](const Call& call, const v1::DecodeRequest&) {
    ScriptedEngine::token(call, 0, "one ");
    held = call;
  };
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return held != nullptr && asked->tokens.size() == 1; }));
  writer.server.drain();
  settle();
  ScriptedEngine::token(held, 1, "two");
  held->finish({});
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << asked->end->status.message;
  EXPECT_EQ(asked->tokens.size(), 2u);
}

TEST_F(NodeTest, AReplacedEngineOnTheSamePort) {
  auto old = std::make_unique<ScriptedEngine>(loop, 7);
  const std::uint16_t port = old->server.port();
  start("<fleet file='" + writeFleet({{&reader, "prefill"}, {old.get(), "decode"}}) + "'/>");
  auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_EQ(old->writes, 1);
  old->server.abortAll();
  settle(0.05);
  old.reset();
  ScriptedEngine fresh(loop, 8, port);
  writeFleet({{&reader, "prefill"}, {&fresh, "decode"}});
  node->reload(node->settings());
  asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << asked->end->status.message;
  EXPECT_EQ(fresh.writes, 1);
}

TEST_F(NodeTest, ADrainFinishesStreamsAndRefusesTheRest) {
  startWithPair();
  Call held;
  writer.onWrite = [&](const Call& call, const v1::DecodeRequest&) {
    ScriptedEngine::token(call, 0, "one ");
    held = call;
  };
  const auto streaming = ask();
  ASSERT_TRUE(until([&] { return streaming->tokens.size() == 1; }));
  Call reading;
  reader.onRead = [&](const Call& call, const v1::PrefillRequest&) { reading = call; };
  const auto queued = ask();
  ASSERT_TRUE(until([&] { return reading != nullptr; }));
  bool drained = false;
  node->drain([&] { drained = true; });
  const auto late = ask();
  settle();
  EXPECT_FALSE(drained) << "two requests are still owed an answer";
  held->finish({});
  writer.onWrite = nullptr;
  ScriptedEngine::answerRead(reading);
  ASSERT_TRUE(until([&] { return drained; }));
  EXPECT_TRUE(streaming->ended(grpc::Code::kOk));
  EXPECT_TRUE(queued->ended(grpc::Code::kOk));
  ASSERT_TRUE(until([&] { return late->end.has_value(); }));
  EXPECT_FALSE(late->ended(grpc::Code::kOk));
}

TEST_F(NodeTest, ABrokenReloadChangesNothing) {
  startWithPair();
  std::ofstream(folder / "fleet.xml") << "<fleet xmlns='urn:gannetcourse:fleet:1'><engine id='1'/></fleet>";
  EXPECT_THROW(node->reload(node->settings()), config::InvalidFile);
  config::NodeSettings other = node->settings();
  other.name = "n2";
  EXPECT_THROW(node->reload(other), std::invalid_argument);
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk));
}

TEST_F(NodeTest, AReloadChangesTheClassLimits) {
  startWithPair();
  config::NodeSettings fresh = node->settings();
  fresh.classes[0].maxPromptTokens = 50;
  node->reload(fresh);
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kInvalidArgument));
  EXPECT_NE(std::find(logged.begin(), logged.end(), "class query max-prompt-tokens: 5000 -> 50"),
            logged.end());
}

// ---- The move of a running node to another shape of deployment, and back ----
std::string movedText(const std::string& fleet) {
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

TEST_F(NodeTest, TheMoveLosesAndRepeatsNothingAndGoesBackByTheSameStep) {
  const std::string fleet = "<fleet file='" + writeFleet({{&reader, "prefill"}, {&writer, "decode"}}) + "'/>";
  start(fleet);
  const config::NodeSettings before = config::parseSettings(settingsText(fleet), "node.xml");
  std::vector<Call> held;
  writer.onWrite = [&](const Call& call, const v1::DecodeRequest&) { held.push_back(call); };
  v1::GenerateRequest order = query();
  order.set_request_class("order");  // unsafe now, safe after the move
  const auto taken = ask(order);
  ASSERT_TRUE(until([&] { return held.size() == 1; }));

  node->reload(config::parseSettings(movedText(fleet), "moved.xml"));
  EXPECT_EQ(node->core().openRequests(), 1u) << "what was taken stays taken";
  held[0]->finish(
      {grpc::Code::kInternal, "broke"});  // it may have run: under its old class it must not run again
  ASSERT_TRUE(until([&] { return taken->end.has_value(); }));
  EXPECT_EQ(taken->verdict(), "failed");
  settle();
  EXPECT_EQ(writer.writes, 1);

  writer.onWrite = nullptr;
  EXPECT_TRUE(until([&, gone = ask()] { return gone->ended(grpc::Code::kInvalidArgument); }))
      << "query is not in service";
  v1::GenerateRequest booking = query();
  booking.set_request_class("booking");
  booking.set_tenant("inn");
  const auto booked = ask(booking);
  ASSERT_TRUE(until([&] { return booked->end.has_value(); }));
  EXPECT_TRUE(booked->ended(grpc::Code::kOk)) << booked->end->status.message;

  writer.onWrite = [&](const Call& call, const v1::DecodeRequest&) { held.push_back(call); };
  const auto underWay = ask(booking);
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  node->reload(before);  // the way back is the same step
  ScriptedEngine::token(held[1], 0, "done");
  held[1]->finish({});
  ASSERT_TRUE(until([&] { return underWay->end.has_value(); }));
  EXPECT_TRUE(underWay->ended(grpc::Code::kOk)) << "a booking is finished under its class";
  writer.onWrite = nullptr;
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk));
  EXPECT_EQ(node->settings().classes.size(), 4u) << "query and order found their old places";
  EXPECT_EQ(node->core().openRequests(), 0u);
  for (const auto& one : {taken, booked, underWay, asked}) EXPECT_EQ(one->ends, 1);
}

// Forth, back and forth again with streams open, reads out, states held and further attempts pending, and a
// broken file in between.
TEST_F(NodeTest, MovesUnderLoadAnswerEachRequestOnceAndRunNoUnsafeOneTwice) {
  const std::string fleet = "<fleet file='" + writeFleet({{&reader, "prefill"}, {&writer, "decode"}}) + "'/>";
  start(fleet);
  std::string text = movedText(fleet);
  const auto tenants = text.find("<tenants>"), end = text.find("</tenants>");
  text.erase(tenants, end + 10 - tenants);
  const config::NodeSettings files[] = {config::parseSettings(settingsText(fleet), "node.xml"),
                                        config::parseSettings(text, "moved.xml")};
  std::map<std::uint64_t, int> runs;  // by the request's seed
  std::vector<Call> open;
  int writes = 0;
  writer.onWrite = [&](const Call& call, const v1::DecodeRequest& ask) {
    ++runs[ask.seed()];
    ScriptedEngine::token(call, 0, "one");
    if (++writes % 3 == 0) return open.push_back(call);  // stays open over the next reloads
    if (writes % 5 == 0) return call->finish({grpc::Code::kInternal, "broke"});
    call->finish({});
  };
  std::vector<Call> reads;
  reader.onRead = [&](const Call& call, const v1::PrefillRequest&) {
    reader.reads % 4 == 0 ? reads.push_back(call) : ScriptedEngine::answerRead(call);
  };
  std::vector<std::shared_ptr<Asked>> asked;
  std::set<std::uint64_t> unsafe;
  for (std::uint64_t i = 1; i <= 80; ++i) {
    const bool moved = i / 10 % 2 == 1;
    v1::GenerateRequest request = query();
    request.set_seed(i);
    request.set_request_class(moved ? (i % 2 ? "booking" : "order") : (i % 2 ? "query" : "order"));
    if (moved ? i % 2 == 1 : i % 2 == 0) unsafe.insert(i);
    asked.push_back(ask(request, Duration(20)));
    loop.runOnce(Duration(0.005));
    if (i % 10 != 9) continue;
    ASSERT_TRUE(until([&] { return node->core().counters().accepted == i; }));
    config::NodeSettings broken = files[0];
    broken.name = "other";
    EXPECT_THROW(node->reload(broken), std::invalid_argument);
    node->reload(files[moved ? 0 : 1]);
    for (const Call& call : std::exchange(open, {})) call->finish({});
    for (const Call& call : std::exchange(reads, {})) ScriptedEngine::answerRead(call);
  }
  const auto allEnded = [&] {
    for (const Call& call : std::exchange(open, {})) call->finish({});
    for (const Call& call : std::exchange(reads, {})) ScriptedEngine::answerRead(call);
    return std::all_of(asked.begin(), asked.end(), [](const auto& one) { return one->end.has_value(); });
  };
  ASSERT_TRUE(until(allEnded));
  settle();
  for (const auto& one : asked) {
    EXPECT_EQ(one->ends, 1);
    EXPECT_FALSE(one->ended(grpc::Code::kInvalidArgument)) << one->end->status.message;
  }
  EXPECT_FALSE(unsafe.empty());
  for (const std::uint64_t seed : unsafe) EXPECT_LE(runs[seed], 1) << "request " << seed;
  EXPECT_GT(node->core().counters().served, 20u);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

TEST_F(NodeTest, AMoveThatCannotBeTakenInServiceChangesNothing) {
  startWithPair();
  const std::string fleet = "<fleet file='" + (folder / "nowhere.xml").string() + "'/>";
  EXPECT_THROW(node->reload(config::parseSettings(movedText(fleet), "moved.xml")), config::InvalidFile);
  EXPECT_EQ(node->settings().classes.size(), 2u);
  EXPECT_EQ(node->settings().policy.routerCount, 1);
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk));
}

// ---- Flow control ----
TEST_F(NodeTest, AClientThatNeverReadsHoldsFewBytesAndCostsOthersNothing) {
  startWithPair();
  const std::string text(1000, 'x');
  std::uint32_t sent = 0;
  Call slow;
  writer.onWrite = [&](const Call& call, const v1::DecodeRequest& ask) {
    if (ask.seed() != 99) {
      ScriptedEngine::token(call, 0, "quick");
      return call->finish({});
    }
    slow = call;
    for (; sent < 500; ++sent) ScriptedEngine::token(call, sent, text);
  };
  v1::GenerateRequest request = query();
  request.set_seed(99);
  const auto asked = ask(request, Duration(30));
  asked->call->pause(true);
  ASSERT_TRUE(until([&] { return slow != nullptr; }));
  settle(0.5);
  // The engine still holds most of it: the node took its buffer, a window of each side, and no more.
  EXPECT_GT(slow->pendingBytes(), 500000u - 8 * 1024 - 8 * 1024 - 4096 - 20000);
  const auto quick = ask();
  ASSERT_TRUE(until([&] { return quick->end.has_value(); }));
  EXPECT_TRUE(quick->ended(grpc::Code::kOk));
  slow->finish({});
  asked->call->pause(false);
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << asked->end->status.message;
  EXPECT_EQ(asked->tokens.size(), 500u);
}

TEST_F(NodeTest, ASlowClientsWriterDiesAndTheNextOneIsHeldBackToo) {
  ScriptedEngine other(loop, 3);
  const std::uint32_t all = 45;
  std::vector<Call> writes;
  std::vector<std::uint32_t> from;
  const auto write = [&](const Call& call, const v1::DecodeRequest& ask) {
    writes.push_back(call);
    from.push_back(ask.first_index());
    for (std::uint32_t i = ask.first_index(); i < all; ++i)
      ScriptedEngine::token(call, i, std::string(1000, static_cast<char>('a' + i % 26)));
    if (from.size() > 1) call->finish({});
  };
  writer.onWrite = other.onWrite = write;
  start("<fleet file='" + writeFleet({{&reader, "prefill"}, {&writer, "decode"}, {&other, "decode"}}) +
        "'/>");
  v1::GenerateRequest request = query();
  request.set_max_output_tokens(all);
  const auto asked = ask(request, Duration(30));
  asked->call->pause(true);
  ASSERT_TRUE(until([&] { return !writes.empty(); }));
  settle(0.4);
  const std::size_t held = writes.front()->pendingBytes();
  EXPECT_GT(held, 10000u) << "its node has taken a buffer's worth and no more";
  writer.server.abortAll();
  other.server.abortAll();
  ASSERT_TRUE(until([&] { return writes.size() == 2; }));
  settle(0.4);
  EXPECT_GT(from[1], 0u);
  EXPECT_GT(writes[1]->pendingBytes(), 1000u) << "the buffer is full still: the next writer waits as well";
  asked->call->pause(false);
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << asked->end->status.message;
  ASSERT_EQ(asked->tokens.size(), all);
  for (std::uint32_t i = 0; i < all; ++i)
    EXPECT_EQ(asked->tokens[i].front(), static_cast<char>('a' + i % 26));
}

TEST_F(NodeTest, AnEngineThatSaysGoawayHandsItsLongStreamsOver) {
  ScriptedEngine other(loop, 3);
  ScriptedEngine* first = nullptr;
  const auto write = [&](ScriptedEngine& engine) {
    return [&](const Call& call, const v1::DecodeRequest& ask) {
      ScriptedEngine::token(call, ask.first_index(), ask.first_index() == 0 ? "one " : "two");
      if (first != nullptr) return call->finish({});
      first = &engine;  // and goes on for long
    };
  };
  writer.onWrite = write(writer);
  other.onWrite = write(other);
  start("<fleet file='" + writeFleet({{&reader, "prefill"}, {&writer, "decode"}, {&other, "decode"}}) +
        "'/>");
  v1::GenerateRequest request = query();
  request.set_max_output_tokens(400);
  const auto asked = ask(request, Duration(60));
  ASSERT_TRUE(until([&] { return asked->tokens.size() == 1; }));
  first->server.drain();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << asked->end->status.message;
  EXPECT_EQ(asked->tokens, (std::vector<std::string>{"one ", "two"}));
  EXPECT_EQ(first->cancelled, 1) << "taken away, not broken";
  EXPECT_EQ(first->writes, 1);
}

// ---- Registry ----
struct ScriptedRegistry {
  explicit ScriptedRegistry(net::Loop& loop, std::uint16_t port = 0) : server(loop, {"127.0.0.1", port}) {
    server.handle("/gannetcourse.v1.Registry/Watch", [this](const Call& call, std::string_view) {
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
  bool sendEmpty = false;
  int watches = 0;
  Call watch;
};

TEST_F(NodeTest, ARegistryThatIsGoneAtStartIsFoundLater) {
  std::uint16_t port = 0;
  {
    ScriptedRegistry reserve(loop);
    port = reserve.server.port();
  }
  start("<fleet registry='127.0.0.1:" + std::to_string(port) + "'/>");
  settle();
  EXPECT_EQ(node->engineCount(), 0u);
  ScriptedRegistry registry(loop, port);
  registry.first.set_full(true);
  ScriptedRegistry::add(registry.first, reader, v1::EngineEntry::PREFILL);
  ScriptedRegistry::add(registry.first, writer, v1::EngineEntry::DECODE);
  ASSERT_TRUE(until([&] { return node->engineCount() == 2; }));
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk));
}

TEST_F(NodeTest, AnEmptyRegistryLeavesNothingToSendTo) {
  ScriptedRegistry registry(loop);
  registry.first.set_full(true);
  registry.sendEmpty = true;
  start("<fleet registry='127.0.0.1:" + std::to_string(registry.server.port()) + "'/>");
  ASSERT_TRUE(until([&] { return registry.watches == 1; }));
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_EQ(asked->verdict(), "refused");
}

TEST_F(NodeTest, NothingNewGoesToAnEngineThatDrains) {
  ScriptedEngine other(loop, 3);
  ScriptedRegistry registry(loop);
  registry.first.set_full(true);
  ScriptedRegistry::add(registry.first, reader, v1::EngineEntry::PREFILL);
  ScriptedRegistry::add(registry.first, writer, v1::EngineEntry::DECODE);
  ScriptedRegistry::add(registry.first, other, v1::EngineEntry::DECODE);
  start("<fleet registry='127.0.0.1:" + std::to_string(registry.server.port()) + "'/>");
  ASSERT_TRUE(until([&] { return node->engineCount() == 3; }));
  v1::EngineList change;
  ScriptedRegistry::add(change, writer, v1::EngineEntry::DECODE, v1::EngineEntry::DRAINING);
  registry.watch->send(change.SerializeAsString());
  settle();
  for (int i = 0; i < 6; ++i) {
    const auto asked = ask();
    ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
    EXPECT_TRUE(asked->ended(grpc::Code::kOk));
  }
  EXPECT_EQ(writer.writes, 0);
  EXPECT_EQ(other.writes, 6);
}

TEST_F(NodeTest, AWatchThatBreaksKeepsTheListAndIsAskedForAgain) {
  ScriptedRegistry registry(loop);
  registry.first.set_full(true);
  ScriptedRegistry::add(registry.first, reader, v1::EngineEntry::PREFILL);
  ScriptedRegistry::add(registry.first, writer, v1::EngineEntry::DECODE);
  const std::string saved = (folder / "saved.xml").string();
  const std::string fleet =
      "<fleet registry='127.0.0.1:" + std::to_string(registry.server.port()) + "' saved='" + saved + "'/>";
  start(fleet);
  ASSERT_TRUE(until([&] { return node->engineCount() == 2; }));
  registry.server.abortAll();
  settle(0.1);
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk)) << "the last list is worked on";
  EXPECT_TRUE(until([&] { return registry.watches == 2; }));
  // A start while the registry is away works on the saved list.
  channel.reset();
  node.reset();
  registry.server.refuse(true);
  start(fleet);
  EXPECT_EQ(node->engineCount(), 2u);
  const auto again = ask();
  ASSERT_TRUE(until([&] { return again->end.has_value(); }));
  EXPECT_TRUE(again->ended(grpc::Code::kOk));
}

// ---- Health ----
TEST_F(NodeTest, AnAnswerGoesOnAtAnotherNodeAfterItsNodeDied) {
  std::ofstream(folder / "keys") << "autumn " << std::string(64, 'a') << "\n";
  const std::string fleet = "<fleet file='" + writeFleet({{&reader, "prefill"}, {&writer, "decode"}}) + "'/>";
  const std::string keys = "<resume key-file='" + (folder / "keys").string() + "'/>";
  std::string readAgain;
  std::uint32_t from = 0, attempt = 0;
  reader.onRead = [&](const Call& call, const v1::PrefillRequest& ask) {
    readAgain = ask.prompt();
    ScriptedEngine::answerRead(call);
  };
  writer.onWrite = [&](const Call& call, const v1::DecodeRequest& ask) {
    from = ask.first_index();
    attempt = ask.name().attempt();
    ScriptedEngine::token(call, from, from == 0 ? "a " : "c ");
    ScriptedEngine::token(call, from + 1, from == 0 ? "b " : "d");
    if (from > 0) call->finish({});
  };
  start(fleet, keys);
  const auto first = ask();
  ASSERT_TRUE(until([&] { return first->tokens.size() == 2; }));
  ASSERT_FALSE(first->resume.empty());
  EXPECT_EQ(first->resume.find("n1-t"), std::string::npos) << "it tells the client nothing";
  node.reset();  // it dies: its connections end
  ASSERT_TRUE(until([&] { return first->end && writer.cancelled == 1; }));
  start(fleet, keys, "later");
  v1::GenerateRequest rest = query();
  rest.set_resume(first->resume);
  rest.set_received_tokens(2);
  rest.set_received_text("a b ");
  const auto second = ask(rest);
  ASSERT_TRUE(until([&] { return second->end.has_value(); }));
  EXPECT_TRUE(second->ended(grpc::Code::kOk)) << second->end->status.message;
  EXPECT_EQ(second->tokens, (std::vector<std::string>{"c ", "d"}));
  EXPECT_EQ(readAgain, "why?a b ");
  EXPECT_EQ(from, 2u);
  EXPECT_EQ(attempt, 3u) << "engines know it as the newest of the same request";
  EXPECT_GE(writer.fences, 1) << "the dead node's attempt is known to have ended first";
}

TEST_F(NodeTest, ResumeTokensThatCannotBeTakenAreRefusedWithTheReason) {
  std::ofstream(folder / "keys") << "autumn " << std::string(64, 'a') << "\n";
  start("<fleet file='" + writeFleet({{&reader, "prefill"}, {&writer, "decode"}}) + "'/>",
        "<resume key-file='" + (folder / "keys").string() + "'/>");
  const auto first = ask();
  ASSERT_TRUE(until([&] { return first->end.has_value(); }));
  ASSERT_FALSE(first->resume.empty());
  v1::GenerateRequest good = query();
  good.set_resume(first->resume);
  good.set_received_tokens(1);
  v1::GenerateRequest changed = good, other = good, bare = good, many = good;
  std::string damaged = first->resume;
  damaged.back() = static_cast<char>(damaged.back() ^ 1);
  changed.set_resume(damaged);
  other.set_prompt("why not?");
  bare.clear_received_tokens();
  many.set_received_tokens(4000000000U);
  const std::pair<v1::GenerateRequest, std::string> cases[] = {{changed, "resume: is damaged"},
                                                               {other, "resume: belongs to another"},
                                                               {bare, "received_tokens: is missing"},
                                                               {many, "received_tokens: are more"}};
  for (const auto& [request, why] : cases) {
    const auto asked = ask(request);
    ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
    EXPECT_TRUE(asked->ended(grpc::Code::kInvalidArgument));
    EXPECT_EQ(asked->end->status.message.find(why), 0u) << asked->end->status.message;
  }
  // The key is replaced in service: the old one still opens until it is taken out.
  std::ofstream(folder / "keys") << "winter " << std::string(64, 'b') << "\n";
  node->reload(node->settings());
  const auto late = ask(good);
  ASSERT_TRUE(until([&] { return late->end.has_value(); }));
  EXPECT_TRUE(late->ended(grpc::Code::kInvalidArgument));
}

TEST_F(NodeTest, HealthFollowsTheNode) {
  startWithPair();
  using ::grpc::health::v1::HealthCheckRequest;
  using ::grpc::health::v1::HealthCheckResponse;
  std::vector<int> told;
  bool over = false;
  const auto watch = channel->start("/grpc.health.v1.Health/Watch", HealthCheckRequest().SerializeAsString());
  watch->onMessage = [&](std::string_view bytes) {
    told.push_back(parsed<HealthCheckResponse>(bytes).status());
  };
  watch->onEnd = [&](const grpc::CallEnd&) { over = true; };
  ASSERT_TRUE(until([&] { return !told.empty(); }));
  bool drained = false;
  node->drain([&] { drained = true; });
  ASSERT_TRUE(until([&] { return over && drained; }));
  EXPECT_EQ(told, (std::vector<int>{HealthCheckResponse::SERVING, HealthCheckResponse::NOT_SERVING}));
}

// ---- Many connections ----
TEST_F(NodeTest, TenThousandConnectionsOpenedAndClosed) {
  startWithPair();
  const sockaddr_in to = [&] {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(node->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }();
  for (int i = 0; i < 10000; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ASSERT_GE(fd, 0);
    connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    // Half of them leave without a word, half after some bytes that are no HTTP/2.
    if (i % 2 == 0) [[maybe_unused]]
      const auto sent = send(fd, "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL);
    const linger now{1, i % 3 == 0 ? 0 : 1};
    if (i % 3 == 0) setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
    if (i % 50 == 0) loop.runOnce(Duration(0));
  }
  settle();
  const auto asked = ask();
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_TRUE(asked->ended(grpc::Code::kOk));
}

}  // namespace
}  // namespace gannetcourse::node
