// Tests the router program as a process: signals, exit codes and files.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/engine.pb.h"
#include "grpc/channel.h"
#include "grpc/server.h"
#include "node_process.h"

namespace gannetcourse::lab {
namespace {

constexpr double kWaitLimit = 20;  // seconds; much longer than a correct program needs

struct CommandResult {
  int code = -1;
  std::string out;
};

CommandResult run(const std::string& arguments) {
  CommandResult result;
  FILE* const pipe = popen((std::string(GANNETCOURSE) + " " + arguments + " 2>&1").c_str(), "r");
  char buffer[4096];
  while (fgets(buffer, sizeof buffer, pipe) != nullptr) result.out += buffer;
  result.code = WEXITSTATUS(pclose(pipe));
  return result;
}

class DaemonTest : public ::testing::Test {
 protected:
  DaemonTest()
      : folder(std::filesystem::temp_directory_path() / ("gannetcourse-daemon-" + std::to_string(getpid()))),
        prefillEngine(loop, net::Endpoint{}),
        decodeEngine(loop, net::Endpoint{}) {
    std::filesystem::create_directories(folder);
    prefillEngine.handle("/gannetcourse.v1.Engine/Prefill",
                         [this](const Call& call, std::string_view) { prefills.push_back(call); });
    decodeEngine.handle("/gannetcourse.v1.Engine/Decode", [this](const Call& call, std::string_view) {
      v1::DecodeToken token;
      token.set_text("one");
      call->send(token.SerializeAsString());
      decodes.push_back(call);
    });
    std::ofstream(folder / "fleet.xml")
        << "<fleet xmlns='urn:gannetcourse:fleet:1'>"
        << "<engine id='1' role='prefill' zone='north' address='127.0.0.1:" << prefillEngine.port()
        << "'/><engine id='2' role='decode' zone='north' address='127.0.0.1:" << decodeEngine.port()
        << "'/></fleet>";
  }
  ~DaemonTest() override { std::filesystem::remove_all(folder); }
  using Call = std::shared_ptr<grpc::ServerCall>;

  std::string settings(const std::string& extra = "") const {
    return "<gannetcourse xmlns='urn:gannetcourse:settings:1'><node name='d' zone='north'/>"
           "<listen grpc='127.0.0.1:0'/><zones><zone name='north'/></zones>"
           "<classes><class name='query' aim='5s' first-token-within='15s'/></classes>"
           "<fleet file='" +
           (folder / "fleet.xml").string() + "'/>" + extra + "</gannetcourse>\n";
  }

  std::string file(const std::string& name, const std::string& text) const {
    std::ofstream(folder / name) << text;
    return (folder / name).string();
  }

  std::string read(const std::string& name) const {
    std::stringstream text;
    text << std::ifstream(folder / name).rdbuf();
    return text.str();
  }

  template <class Done>
  bool waitUntil(const Done& done) {
    const Instant end = net::monotonicNow() + Duration(kWaitLimit);
    while (!done() && net::monotonicNow() < end) loop.runOnce(Duration(0.02));
    return done();
  }

  // Writes the settings, sends SIGHUP to the node and returns whether its log then contains `logText`.
  bool reloadLogs(pid_t node, const std::string& text, const std::string& logText) {
    file("node.xml", text);
    ::kill(node, SIGHUP);
    return waitUntil([&] { return read("node.log").find(logText) != std::string::npos; });
  }

  void replyToPrefill(const Call& call) {
    v1::PrefillReply reply;
    reply.set_state("s");
    call->send(reply.SerializeAsString());
    call->finish({});
  }

  struct Response {
    std::optional<grpc::CallEnd> end;
    int tokens = 0;
  };
  std::shared_ptr<Response> generate(grpc::Channel& channel) {
    v1::GenerateRequest request;
    request.set_request_class("query");
    request.set_prompt("why?");
    auto response = std::make_shared<Response>();
    const auto call =
        channel.start("/gannetcourse.v1.Chat/Generate", request.SerializeAsString(), Duration(40));
    call->onMessage = [response](std::string_view) { ++response->tokens; };
    call->onEnd = [response](const grpc::CallEnd& end) { response->end = end; };
    return response;
  }

  std::filesystem::path folder;
  net::Loop loop;
  grpc::Server prefillEngine, decodeEngine;
  std::vector<Call> prefills, decodes;
};

// `check` and `serve` must report the same fault of a settings file, on one line, and exit with code 1.
TEST_F(DaemonTest, PrintsVersionAndReportsFaultsOfSettings) {
  EXPECT_EQ(run("version").out.rfind("gannetcourse ", 0), 0u);
  const CommandResult valid = run("check " + file("good.xml", settings()));
  EXPECT_EQ(valid.code, 0);
  EXPECT_NE(valid.out.find("usable"), std::string::npos) << valid.out;
  const CommandResult invalid = run("check " + file("bad.xml", settings("<limits pin-limit='10ms'/>")));
  EXPECT_EQ(invalid.code, 1);
  EXPECT_NE(invalid.out.find("bad.xml:1: rule 5"), std::string::npos) << invalid.out;
  EXPECT_EQ(std::count(invalid.out.begin(), invalid.out.end(), '\n'), 1) << invalid.out;
  const CommandResult rejected = run("serve " + (folder / "bad.xml").string());
  EXPECT_EQ(rejected.code, 1);
  EXPECT_EQ(rejected.out, invalid.out);
  EXPECT_NE(run("frobnicate").code, 0);
}

// A drain must not end requests that are in flight: one is streaming and one in its prefill when SIGTERM
// arrives.
TEST_F(DaemonTest, SigtermFinishesRequestsInFlightBeforeExit) {
  const auto node = startProcess(GANNETCOURSE, folder.string(), "node", settings("<log level='debug'/>"));
  grpc::Channel channel(loop, {"127.0.0.1", node->port()});
  const auto streaming = generate(channel);
  ASSERT_TRUE(waitUntil([&] { return prefills.size() == 1; }));
  replyToPrefill(prefills[0]);
  ASSERT_TRUE(waitUntil([&] { return streaming->tokens == 1; }));
  const auto prefilling = generate(channel);
  ASSERT_TRUE(waitUntil([&] { return prefills.size() == 2; }));
  node->drain();
  ASSERT_TRUE(waitUntil([&] { return read("node.log").find("\"draining\"") != std::string::npos; }));
  EXPECT_FALSE(node->ended());
  decodes[0]->finish({});
  replyToPrefill(prefills[1]);
  ASSERT_TRUE(waitUntil([&] { return decodes.size() == 2; }));
  decodes[1]->finish({});
  ASSERT_TRUE(waitUntil([&] { return node->ended(); }));
  EXPECT_TRUE(node->exitedCleanly());
  ASSERT_TRUE(waitUntil([&] { return streaming->end && prefilling->end; }));
  EXPECT_EQ(streaming->end->status.code, grpc::Code::kOk);
  EXPECT_EQ(prefilling->end->status.code, grpc::Code::kOk);
  const std::string log = read("node.log");
  for (const char* action : {"accepted", "prefill_started", "decode_started", "stream_started", "served"})
    EXPECT_NE(log.find("\"action\":\"" + std::string(action) + "\""), std::string::npos) << action;
}

// A reload fails for malformed XML, a broken rule or a setting that needs a restart. The node must keep its
// settings and log the reason; a later valid reload must not affect a request in flight.
TEST_F(DaemonTest, FailedReloadKeepsOldSettingsAndLogsReason) {
  const auto node = startProcess(GANNETCOURSE, folder.string(), "node", settings());
  const auto reload = [&](const std::string& text, const std::string& logText) {
    return reloadLogs(node->pid(), text, logText);
  };
  EXPECT_TRUE(reload("<gannetcourse", "reload refused, the old settings stay: "));
  EXPECT_TRUE(reload(settings("<limits answer-margin='1ms'/>"), "rule 1"));
  EXPECT_TRUE(reload(settings("<limits answer-margin='90ms'/>"),
                     "'limits answer-margin' changes only with a restart"));
  grpc::Channel channel(loop, {"127.0.0.1", node->port()});
  const auto response = generate(channel);
  ASSERT_TRUE(waitUntil([&] { return prefills.size() == 1; }));
  EXPECT_TRUE(reload(settings("<log level='debug'/>"), "settings reloaded"));
  replyToPrefill(prefills[0]);
  ASSERT_TRUE(waitUntil([&] { return decodes.size() == 1; }));
  decodes[0]->finish({});
  ASSERT_TRUE(waitUntil([&] { return response->end.has_value(); }))
      << "a reload must not end a request in flight";
  EXPECT_EQ(response->end->status.code, grpc::Code::kOk);
  node->drain();
  EXPECT_TRUE(waitUntil([&] { return node->ended(); }));
  EXPECT_TRUE(node->exitedCleanly());
}

// A request in flight is finished under its class even if a reload removes that class; new requests of the
// class are rejected until another reload restores it.
TEST_F(DaemonTest, ReloadReplacesClassesAndCanBeReverted) {
  const auto node = startProcess(GANNETCOURSE, folder.string(), "node", settings());
  const auto reload = [&](const std::string& text, const std::string& logText) {
    return reloadLogs(node->pid(), text, logText);
  };
  grpc::Channel channel(loop, {"127.0.0.1", node->port()});
  const auto response = generate(channel);
  ASSERT_TRUE(waitUntil([&] { return prefills.size() == 1; }));
  std::string otherClasses = settings("<limits max-attempts='6'/>");
  otherClasses.replace(otherClasses.find("name='query'"), 12, "name='booking' effect='unsafe'");
  EXPECT_TRUE(reload(otherClasses, "limits max-attempts: 4 -> 6"));
  EXPECT_TRUE(waitUntil([&] { return read("node.log").find("settings reloaded") != std::string::npos; }));
  replyToPrefill(prefills[0]);
  ASSERT_TRUE(waitUntil([&] { return decodes.size() == 1; }));
  decodes[0]->finish({});
  ASSERT_TRUE(waitUntil([&] { return response->end.has_value(); }));
  EXPECT_EQ(response->end->status.code, grpc::Code::kOk);
  const auto rejected = generate(channel);
  ASSERT_TRUE(waitUntil([&] { return rejected->end.has_value(); }));
  EXPECT_EQ(rejected->end->status.code, grpc::Code::kInvalidArgument);
  EXPECT_TRUE(reload(settings(), "limits max-attempts: 6 -> 4"));
  const auto accepted = generate(channel);
  ASSERT_TRUE(waitUntil([&] { return prefills.size() == 2; }));
  replyToPrefill(prefills[1]);
  ASSERT_TRUE(waitUntil([&] { return decodes.size() == 2; }));
  decodes[1]->finish({});
  ASSERT_TRUE(waitUntil([&] { return accepted->end.has_value(); }));
  EXPECT_EQ(accepted->end->status.code, grpc::Code::kOk);
  node->drain();
  EXPECT_TRUE(waitUntil([&] { return node->ended(); }));
  EXPECT_TRUE(node->exitedCleanly());
}

}  // namespace
}  // namespace gannetcourse::lab
