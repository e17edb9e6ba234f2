// Tests of `gannetcourse platform` as a process: signals, invalid configuration files, exit codes.
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
  std::string logText() const {
    std::stringstream text;
    text << std::ifstream(folder_ / "log").rdbuf();
    return text.str();
  }
  bool waitForLog(const std::string& text) {
    return runUntil([&] { return logText().find(text) != std::string::npos; });
  }
  // The port that the process logs as its listening port; 0 if it logs none in time.
  std::uint16_t port() {
    static const std::string kListeningText = "listening on port ";
    if (!waitForLog(kListeningText)) return 0;
    const std::string log = logText();
    return static_cast<std::uint16_t>(
        std::stoi(log.substr(log.find(kListeningText) + kListeningText.size())));
  }
  std::shared_ptr<Peer> sendToProcess(const std::string& request) {
    auto peer = std::make_shared<Peer>(loop);
    peer->connection.connect({"127.0.0.1", port()}, Duration(kTimeoutSeconds));
    peer->send(request);
    return peer;
  }
  // Waits for the process; returns its exit code, or -1 if it does not end in time or is ended by a signal.
  int exitCode() {
    int status = 0;
    const bool ended = runUntil([&] { return waitpid(process_, &status, WNOHANG) == process_; });
    if (!ended) return -1;
    process_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  // Starts a stream and waits until its client has received the first event.
  std::shared_ptr<Peer> startStream() {
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

TEST_F(PlatformDaemonTest, FinishesStreamWhenReloadAndTerminationArriveTogether) {
  writeConfiguration(configurationJson());
  launch();
  const auto peer = startStream();
  Json newConfiguration = configurationJson();
  newConfiguration["settings"]["classes"][0]["aimS"] = 2.5;
  writeConfiguration(newConfiguration);
  kill(process_, SIGTERM);
  kill(process_, SIGHUP);
  kill(process_, SIGTERM);
  ASSERT_TRUE(waitForLog("draining"));
  EXPECT_TRUE(waitForLog("configuration reloaded"));
  const auto late = sendToProcess(chatRequest("late"));
  EXPECT_EQ(statusOf(late), 503);
  decodeEngine.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(runUntil([&] { return peer->hasReceived("\r\n0\r\n\r\n"); }));
  EXPECT_EQ(exitCode(), 0);
  EXPECT_NE(logText().find("drained: "), std::string::npos);
}

TEST_F(PlatformDaemonTest, KeepsOldConfigurationWhenReloadedFileIsInvalid) {
  writeConfiguration(configurationJson());
  launch();
  ASSERT_NE(port(), 0);
  Json invalid = configurationJson();
  invalid["settings"]["classes"][1]["idempotency"] = "deduplicated";  // would apply to open requests
  writeConfiguration(invalid);
  kill(process_, SIGHUP);
  EXPECT_TRUE(waitForLog("reload refused, the old configuration stays"));
  std::ofstream(folder_ / "config.json") << "{\"name\": ";
  kill(process_, SIGHUP);
  EXPECT_TRUE(waitForLog("not valid JSON"));
  EXPECT_EQ(statusOf(sendToProcess(chatRequest("still"))), 200);
  kill(process_, SIGTERM);
  EXPECT_EQ(exitCode(), 0);
}

// The file may be incomplete, or briefly impossible to open, when the reload signal arrives.
TEST_F(PlatformDaemonTest, RetriesReloadWhenFileIsIncomplete) {
  writeConfiguration(configurationJson());
  launch();
  ASSERT_NE(port(), 0);
  std::ofstream(folder_ / "config.json") << configurationJson().dump().substr(0, 200);
  kill(process_, SIGHUP);
  ASSERT_TRUE(waitForLog("not valid JSON"));
  ScriptedServer newDiscovery(loop, [](Peer& p, const http1::Request&) { p.send(kStreamHead); });
  Json newConfiguration = configurationJson();
  newConfiguration["discovery"] = newDiscovery.address();
  writeConfiguration(newConfiguration);
  EXPECT_TRUE(waitForLog("configuration reloaded"));
  EXPECT_TRUE(runUntil([&] { return !newDiscovery.requests.empty(); }));
}

TEST_F(PlatformDaemonTest, RetriesStartWhenFileIsIncomplete) {
  std::ofstream(folder_ / "config.json") << configurationJson().dump().substr(0, 200);
  launch();
  runFor(0.3);
  writeConfiguration(configurationJson());
  EXPECT_NE(port(), 0);
  EXPECT_EQ(statusOf(sendToProcess(chatRequest("first"))), 200);
}

// The previous process may still be shutting down and listening at the address.
TEST_F(PlatformDaemonTest, WaitsAtStartUntilItsAddressIsFree) {
  net::Listener previousListener(loop, {}, [](int fd) { close(fd); });
  Json json = configurationJson();
  json["listen"] = "127.0.0.1:" + std::to_string(previousListener.port());
  writeConfiguration(json);
  launch();
  EXPECT_TRUE(waitForLog("cannot listen"));
  previousListener.close();
  EXPECT_NE(port(), 0);
  EXPECT_EQ(statusOf(sendToProcess(chatRequest("first"))), 200);
}

// Standard error is a full pipe that nobody reads, so that writing to the log would block the shutdown.
TEST_F(PlatformDaemonTest, ExitsOnSigtermWhenLogPipeIsFull) {
  int pipeEnds[2];
  ASSERT_EQ(pipe2(pipeEnds, O_CLOEXEC), 0);
  fcntl(pipeEnds[1], F_SETFL, O_NONBLOCK);
  while (write(pipeEnds[1], "x", 1) == 1) {
  }
  fcntl(pipeEnds[1], F_SETFL, 0);
  writeConfiguration(configurationJson());
  launch(pipeEnds[1]);
  ASSERT_TRUE(runUntil([&] { return !discovery.requests.empty(); }));
  kill(process_, SIGTERM);
  EXPECT_EQ(exitCode(), 0);
  close(pipeEnds[0]);
  close(pipeEnds[1]);
}

TEST_F(PlatformDaemonTest, ExitsAtStartAndNamesInvalidField) {
  Json invalid = configurationJson();
  invalid["settings"]["limits"]["maxAttempts"] = "six";
  writeConfiguration(invalid);
  launch();
  EXPECT_EQ(exitCode(), 1);
  EXPECT_NE(logText().find("maxAttempts"), std::string::npos);
  const std::string log = logText();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1);
}

}  // namespace
}  // namespace gannetcourse::platform
