// The daemon as a process: signals, exit codes, files.
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

constexpr double kBound = 20;  // seconds; only a broken program needs them

struct Ran {
  int code = -1;
  std::string out;
};

Ran run(const std::string& arguments) {
  Ran ran;
  FILE* const pipe = popen((std::string(GANNETCOURSE) + " " + arguments + " 2>&1").c_str(), "r");
  char buffer[4096];
  while (fgets(buffer, sizeof buffer, pipe) != nullptr) ran.out += buffer;
  ran.code = WEXITSTATUS(pclose(pipe));
  return ran;
}

class DaemonTest : public ::testing::Test {
 protected:
  DaemonTest()
      : folder(std::filesystem::temp_directory_path() / ("gannetcourse-daemon-" + std::to_string(getpid()))),
        reader(loop, net::Endpoint{}),
        writer(loop, net::Endpoint{}) {
    std::filesystem::create_directories(folder);
    reader.handle("/gannetcourse.v1.Engine/Prefill",
                  [this](const Call& call, std::string_view) { reads.push_back(call); });
    writer.handle("/gannetcourse.v1.Engine/Decode", [this](const Call& call, std::string_view) {
      v1::DecodeToken token;
      token.set_text("one");
      call->send(token.SerializeAsString());
      writes.push_back(call);
    });
    std::ofstream(folder / "fleet.xml")
        << "<fleet xmlns='urn:gannetcourse:fleet:1'>"
        << "<engine id='1' role='prefill' zone='north' address='127.0.0.1:" << reader.port()
        << "'/><engine id='2' role='decode' zone='north' address='127.0.0.1:" << writer.port()
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
  bool until(const Done& done) {
    const Instant end = net::monotonicNow() + Duration(kBound);
    while (!done() && net::monotonicNow() < end) loop.runOnce(Duration(0.02));
    return done();
  }

  // Whether a node that is given these settings by SIGHUP says so in its log.
  bool reloads(pid_t node, const std::string& text, const std::string& says) {
    file("node.xml", text);
    ::kill(node, SIGHUP);
    return until([&] { return read("node.log").find(says) != std::string::npos; });
  }

  void readAnswers(const Call& call) {
    v1::PrefillReply reply;
    reply.set_state("s");
    call->send(reply.SerializeAsString());
    call->finish({});
  }

  struct Asked {
    std::optional<grpc::CallEnd> end;
    int tokens = 0;
  };
  std::shared_ptr<Asked> ask(grpc::Channel& channel) {
    v1::GenerateRequest request;
    request.set_request_class("query");
    request.set_prompt("why?");
    auto asked = std::make_shared<Asked>();
    const auto call =
        channel.start("/gannetcourse.v1.Chat/Generate", request.SerializeAsString(), Duration(40));
    call->onMessage = [asked](std::string_view) { ++asked->tokens; };
    call->onEnd = [asked](const grpc::CallEnd& end) { asked->end = end; };
    return asked;
  }

  std::filesystem::path folder;
  net::Loop loop;
  grpc::Server reader, writer;
  std::vector<Call> reads, writes;
};

TEST_F(DaemonTest, TellsItsVersionAndChecksFiles) {
  EXPECT_EQ(run("version").out.rfind("gannetcourse ", 0), 0u);
  const Ran good = run("check " + file("good.xml", settings()));
  EXPECT_EQ(good.code, 0);
  EXPECT_NE(good.out.find("usable"), std::string::npos) << good.out;
  const Ran bad = run("check " + file("bad.xml", settings("<limits pin-limit='10ms'/>")));
  EXPECT_EQ(bad.code, 1);
  EXPECT_NE(bad.out.find("bad.xml:1: rule 5"), std::string::npos) << bad.out;
  EXPECT_EQ(std::count(bad.out.begin(), bad.out.end(), '\n'), 1) << bad.out;
  const Ran refused = run("serve " + (folder / "bad.xml").string());
  EXPECT_EQ(refused.code, 1);
  EXPECT_EQ(refused.out, bad.out);
  EXPECT_NE(run("frobnicate").code, 0);
}

TEST_F(DaemonTest, SigtermWithStreamsOpenAndRequestsReading) {
  const auto node = startProcess(GANNETCOURSE, folder.string(), "node", settings("<log level='debug'/>"));
  grpc::Channel channel(loop, {"127.0.0.1", node->port()});
  const auto streaming = ask(channel);
  ASSERT_TRUE(until([&] { return reads.size() == 1; }));
  readAnswers(reads[0]);
  ASSERT_TRUE(until([&] { return streaming->tokens == 1; }));
  const auto reading = ask(channel);
  ASSERT_TRUE(until([&] { return reads.size() == 2; }));
  node->drain();
  ASSERT_TRUE(until([&] { return read("node.log").find("\"draining\"") != std::string::npos; }));
  EXPECT_FALSE(node->ended());
  writes[0]->finish({});
  readAnswers(reads[1]);
  ASSERT_TRUE(until([&] { return writes.size() == 2; }));
  writes[1]->finish({});
  ASSERT_TRUE(until([&] { return node->ended(); }));
  EXPECT_TRUE(node->endedWell());
  ASSERT_TRUE(until([&] { return streaming->end && reading->end; }));
  EXPECT_EQ(streaming->end->status.code, grpc::Code::kOk);
  EXPECT_EQ(reading->end->status.code, grpc::Code::kOk);
  const std::string log = read("node.log");
  for (const char* action : {"accepted", "prefill_started", "decode_started", "stream_started", "served"})
    EXPECT_NE(log.find("\"action\":\"" + std::string(action) + "\""), std::string::npos) << action;
}

TEST_F(DaemonTest, ABrokenReloadKeepsTheOldSettingsWithOneLine) {
  const auto node = startProcess(GANNETCOURSE, folder.string(), "node", settings());
  const auto reload = [&](const std::string& text, const std::string& says) {
    return reloads(node->pid(), text, says);
  };
  EXPECT_TRUE(reload("<gannetcourse", "reload refused, the old settings stay: "));
  EXPECT_TRUE(reload(settings("<limits answer-margin='1ms'/>"), "rule 1"));
  EXPECT_TRUE(reload(settings("<limits answer-margin='90ms'/>"),
                     "'limits answer-margin' changes only with a restart"));
  grpc::Channel channel(loop, {"127.0.0.1", node->port()});
  const auto asked = ask(channel);
  ASSERT_TRUE(until([&] { return reads.size() == 1; }));
  EXPECT_TRUE(reload(settings("<log level='debug'/>"), "settings reloaded"));
  readAnswers(reads[0]);
  ASSERT_TRUE(until([&] { return writes.size() == 1; }));
  writes[0]->finish({});
  ASSERT_TRUE(until([&] { return asked->end.has_value(); })) << "a reload costs no request";
  EXPECT_EQ(asked->end->status.code, grpc::Code::kOk);
  node->drain();
  EXPECT_TRUE(until([&] { return node->ended(); }));
  EXPECT_TRUE(node->endedWell());
}

TEST_F(DaemonTest, AMoveInServiceIsLoggedAndTakesBackByTheSameStep) {
  const auto node = startProcess(GANNETCOURSE, folder.string(), "node", settings());
  const auto reload = [&](const std::string& text, const std::string& says) {
    return reloads(node->pid(), text, says);
  };
  grpc::Channel channel(loop, {"127.0.0.1", node->port()});
  const auto asked = ask(channel);
  ASSERT_TRUE(until([&] { return reads.size() == 1; }));
  std::string moved = settings("<limits max-attempts='6'/>");
  moved.replace(moved.find("name='query'"), 12, "name='booking' effect='unsafe'");
  EXPECT_TRUE(reload(moved, "limits max-attempts: 4 -> 6"));
  EXPECT_TRUE(until([&] { return read("node.log").find("settings reloaded") != std::string::npos; }));
  readAnswers(reads[0]);
  ASSERT_TRUE(until([&] { return writes.size() == 1; }));
  writes[0]->finish({});
  ASSERT_TRUE(until([&] { return asked->end.has_value(); }));
  EXPECT_EQ(asked->end->status.code, grpc::Code::kOk);
  const auto old = ask(channel);
  ASSERT_TRUE(until([&] { return old->end.has_value(); }));
  EXPECT_EQ(old->end->status.code, grpc::Code::kInvalidArgument);
  EXPECT_TRUE(reload(settings(), "limits max-attempts: 6 -> 4"));
  const auto again = ask(channel);
  ASSERT_TRUE(until([&] { return reads.size() == 2; }));
  readAnswers(reads[1]);
  ASSERT_TRUE(until([&] { return writes.size() == 2; }));
  writes[1]->finish({});
  ASSERT_TRUE(until([&] { return again->end.has_value(); }));
  EXPECT_EQ(again->end->status.code, grpc::Code::kOk);
  node->drain();
  EXPECT_TRUE(until([&] { return node->ended(); }));
  EXPECT_TRUE(node->endedWell());
}

}  // namespace
}  // namespace gannetcourse::lab
