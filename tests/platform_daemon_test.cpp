// `gannetcourse platform` as a process: signals that come together, files that cannot be used, exit codes.
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>

#include "platform_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class PlatformDaemonTest : public PlatformTest {
 protected:
  PlatformDaemonTest()
      : folder_(std::filesystem::temp_directory_path() /
                ("gannetcourse-platform-daemon-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
  }
  ~PlatformDaemonTest() override {
    if (process_ > 0) {
      kill(process_, SIGKILL);
      waitpid(process_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }

  void writeConfiguration(const Json& json) const { std::ofstream(folder_ / "config.json") << json.dump(); }

  void launch(int standardError = -1) {
    std::string variable = "NODE_CONFIG=" + (folder_ / "config.json").string();
    std::string program = GANNETCOURSE, command = "platform";
    char* const arguments[] = {program.data(), command.data(), nullptr};
    char* const environment[] = {variable.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (standardError >= 0) {
      posix_spawn_file_actions_adddup2(&actions, standardError, STDERR_FILENO);
    } else {
      posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, (folder_ / "log").c_str(),
                                       O_WRONLY | O_CREAT | O_TRUNC, 0600);
    }
    ASSERT_EQ(posix_spawn(&process_, GANNETCOURSE, &actions, nullptr, arguments, environment), 0);
    posix_spawn_file_actions_destroy(&actions);
  }
  std::string logged() const {
    std::stringstream text;
    text << std::ifstream(folder_ / "log").rdbuf();
    return text.str();
  }
  bool logs(const std::string& text) {
    return runUntil([&] { return logged().find(text) != std::string::npos; });
  }
  // The port that it listens on; 0 where it does not say one.
  std::uint16_t port() {
    static const std::string kSays = "listening on port ";
    if (!logs(kSays)) return 0;
    const std::string log = logged();
    return static_cast<std::uint16_t>(std::stoi(log.substr(log.find(kSays) + kSays.size())));
  }
  std::shared_ptr<Peer> sendToProcess(const std::string& request) {
    auto peer = std::make_shared<Peer>(loop);
    peer->connection.connect({"127.0.0.1", port()}, Duration(kTimeoutSeconds));
    peer->send(request);
    return peer;
  }
  // Its exit code; -1 where it does not end, or not by itself.
  int exitCode() {
    int status = 0;
    const bool ended = runUntil([&] { return waitpid(process_, &status, WNOHANG) == process_; });
    if (!ended) return -1;
    process_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  // A stream whose first event has come.
  std::shared_ptr<Peer> streaming() {
    decodeEngine.script = [](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
    };
    auto peer = sendToProcess(chatRequest("open"));
    EXPECT_TRUE(runUntil([&] { return peer->hasReceived("\"a\""); }));
    return peer;
  }

  std::filesystem::path folder_;
  pid_t process_ = -1;
};

TEST_F(PlatformDaemonTest, HandlesReloadAndTerminationTogetherAndFinishesItsStream) {
  writeConfiguration(configurationJson());
  launch();
  const auto peer = streaming();
  Json fresh = configurationJson();
  fresh["settings"]["classes"][0]["aimS"] = 2.5;
  writeConfiguration(fresh);
  kill(process_, SIGTERM);
  kill(process_, SIGHUP);
  kill(process_, SIGTERM);
  ASSERT_TRUE(logs("draining"));
  EXPECT_TRUE(logs("configuration reloaded"));
  const auto late = sendToProcess(chatRequest("late"));
  EXPECT_EQ(statusOf(late), 503);
  decodeEngine.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(runUntil([&] { return peer->hasReceived("\r\n0\r\n\r\n"); }));
  EXPECT_EQ(exitCode(), 0);
  EXPECT_NE(logged().find("drained: "), std::string::npos);
}

TEST_F(PlatformDaemonTest, AFileThatCannotBeUsedLeavesTheOldStateAndOneLine) {
  writeConfiguration(configurationJson());
  launch();
  ASSERT_NE(port(), 0);
  Json bad = configurationJson();
  bad["settings"]["classes"][1]["idempotency"] = "deduplicated";  // another effect under open requests
  writeConfiguration(bad);
  kill(process_, SIGHUP);
  EXPECT_TRUE(logs("reload refused, the old configuration stays"));
  std::ofstream(folder_ / "config.json") << "{\"name\": ";
  kill(process_, SIGHUP);
  EXPECT_TRUE(logs("not valid JSON"));
  EXPECT_EQ(statusOf(sendToProcess(chatRequest("still"))), 200);
  kill(process_, SIGTERM);
  EXPECT_EQ(exitCode(), 0);
}

// The file may still be written when the signal comes, or not be opened for a moment.
TEST_F(PlatformDaemonTest, AFileThatIsStillWrittenAtTheSignalIsReadAgain) {
  writeConfiguration(configurationJson());
  launch();
  ASSERT_NE(port(), 0);
  std::ofstream(folder_ / "config.json") << configurationJson().dump().substr(0, 200);
  kill(process_, SIGHUP);
  ASSERT_TRUE(logs("not valid JSON"));
  ScriptedServer moved(loop, [](Peer& p, const http1::Request&) { p.send(kStreamHead); });
  Json fresh = configurationJson();
  fresh["discovery"] = moved.address();
  writeConfiguration(fresh);
  EXPECT_TRUE(logs("configuration reloaded"));
  EXPECT_TRUE(runUntil([&] { return !moved.requests.empty(); }));
}

TEST_F(PlatformDaemonTest, AFileThatIsStillWrittenAtTheStartIsReadAgain) {
  std::ofstream(folder_ / "config.json") << configurationJson().dump().substr(0, 200);
  launch();
  runFor(0.3);
  writeConfiguration(configurationJson());
  EXPECT_NE(port(), 0);
  EXPECT_EQ(statusOf(sendToProcess(chatRequest("first"))), 200);
}

// The process that had the address before may still be at its end.
TEST_F(PlatformDaemonTest, AStartWaitsForItsAddress) {
  net::Listener before(loop, {}, [](int fd) { close(fd); });
  Json json = configurationJson();
  json["listen"] = "127.0.0.1:" + std::to_string(before.port());
  writeConfiguration(json);
  launch();
  EXPECT_TRUE(logs("cannot listen"));
  before.close();
  EXPECT_NE(port(), 0);
  EXPECT_EQ(statusOf(sendToProcess(chatRequest("first"))), 200);
}

TEST_F(PlatformDaemonTest, AnExitDoesNotWaitForALogThatNobodyReads) {
  int ends[2];
  ASSERT_EQ(pipe2(ends, O_CLOEXEC), 0);
  fcntl(ends[1], F_SETFL, O_NONBLOCK);
  while (write(ends[1], "x", 1) == 1) {
  }
  fcntl(ends[1], F_SETFL, 0);
  writeConfiguration(configurationJson());
  launch(ends[1]);
  ASSERT_TRUE(runUntil([&] { return !discovery.requests.empty(); }));
  kill(process_, SIGTERM);
  EXPECT_EQ(exitCode(), 0);
  close(ends[0]);
  close(ends[1]);
}

TEST_F(PlatformDaemonTest, AStartWithABadFileNamesTheFieldAndEnds) {
  Json bad = configurationJson();
  bad["settings"]["limits"]["maxAttempts"] = "six";
  writeConfiguration(bad);
  launch();
  EXPECT_EQ(exitCode(), 1);
  EXPECT_NE(logged().find("maxAttempts"), std::string::npos);
  const std::string log = logged();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1);
}

}  // namespace
}  // namespace gannetcourse::platform
