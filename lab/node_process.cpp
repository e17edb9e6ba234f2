#include "node_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <stdexcept>
#include <thread>

namespace gannetcourse::lab {
namespace {

constexpr int kStartTimeoutMillis = 20000;

class DaemonProcess final : public NodeProcess {
 public:
  DaemonProcess(const std::string& binary, const std::string& folder, const std::string& name,
                const std::string& settings) {
    const std::string file = folder + "/" + name + ".xml", log = folder + "/" + name + ".log";
    std::ofstream(file) << settings;
    int pipeEnds[2];
    if (pipe2(pipeEnds, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe for " + name);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], 1);
    posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    const char* const argv[] = {binary.c_str(), "serve", file.c_str(), nullptr};
    const int spawnError =
        posix_spawn(&pid_, binary.c_str(), &actions, nullptr, const_cast<char**>(argv), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipeEnds[1]);
    if (spawnError == 0) port_ = readPort(pipeEnds[0]);
    close(pipeEnds[0]);
    if (port_ == 0) {
      if (spawnError == 0) kill();
      throw std::runtime_error(name + " did not report its port; see " + log);
    }
  }
  ~DaemonProcess() override {
    if (!ended()) kill();
  }

  std::uint16_t port() const override { return port_; }
  int pid() const override { return pid_; }
  void drain() override { ::kill(pid_, SIGTERM); }
  bool ended() override {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return ended_;
  }
  bool exitedCleanly() const override { return ended_ && WIFEXITED(status_) && WEXITSTATUS(status_) == 0; }
  void kill() override {
    if (ended_) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
    ended_ = true;
  }

 private:
  static std::uint16_t readPort(int fd) {
    std::string line;
    char c = 0;
    pollfd ready{fd, POLLIN, 0};
    while (poll(&ready, 1, kStartTimeoutMillis) == 1 && read(fd, &c, 1) == 1 && c != '\n') line.push_back(c);
    const std::string prefix = "listening ";
    return line.rfind(prefix, 0) == 0 ? static_cast<std::uint16_t>(std::atoi(line.c_str() + prefix.size()))
                                      : 0;
  }

  pid_t pid_ = -1;
  int status_ = 0;
  std::uint16_t port_ = 0;
  bool ended_ = false;
};

class NodeThread final : public NodeProcess {
 public:
  NodeThread(const std::string& name, const std::string& settings, node::Node::DriverFactory makeDriver) {
    std::promise<std::uint16_t> portPromise;
    auto port = portPromise.get_future();
    thread_ = std::thread(
        [this, name, settings, makeDriver = std::move(makeDriver),
         portPromise = std::move(portPromise)]() mutable { run(name, settings, makeDriver, portPromise); });
    try {
      port_ = port.get();
    } catch (...) {
      thread_.join();
      throw;
    }
  }
  ~NodeThread() override {
    if (!ended_) kill();
    if (thread_.joinable()) thread_.join();
  }

  std::uint16_t port() const override { return port_; }
  void drain() override {
    loop_->post([this] { node_->drain([this] { loop_->stop(); }); });
  }
  bool ended() override { return ended_; }
  bool exitedCleanly() const override { return ended_ && !killed_; }
  void kill() override {
    killed_ = true;
    loop_->post([this] { loop_->stop(); });
  }

 private:
  void run(const std::string& name, const std::string& text, const node::Node::DriverFactory& makeDriver,
           std::promise<std::uint16_t>& portPromise) {
    net::Loop loop;
    std::unique_ptr<node::Node> node;
    try {
      node = std::make_unique<node::Node>(loop, config::parseSettings(text, name), "lab", node::Node::Hooks{},
                                          makeDriver);
    } catch (...) {
      portPromise.set_exception(std::current_exception());
      return;
    }
    loop_ = &loop;
    node_ = node.get();
    portPromise.set_value(node->port());
    loop.run();
    loop.runOnce(Duration(0));
    node.reset();
    ended_ = true;
  }

  std::uint16_t port_ = 0;
  net::Loop* loop_ = nullptr;  // set by the thread before the constructor returns
  node::Node* node_ = nullptr;
  std::atomic<bool> ended_{false}, killed_{false};
  std::thread thread_;
};

}  // namespace

std::unique_ptr<NodeProcess> startProcess(const std::string& binary, const std::string& folder,
                                          const std::string& name, const std::string& settings) {
  return std::make_unique<DaemonProcess>(binary, folder, name, settings);
}

std::unique_ptr<NodeProcess> startInProcess(const std::string& name, const std::string& settings,
                                            node::Node::DriverFactory makeDriver) {
  return std::make_unique<NodeThread>(name, settings, std::move(makeDriver));
}

}  // namespace gannetcourse::lab
