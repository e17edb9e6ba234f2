#include <csignal>
#include <cstdio>
#include <iostream>
#include <random>
#include <string>

#include "config/settings.h"
#include "daemon/commands.h"
#include "daemon/fault_report.h"
#include "daemon/log.h"
#include "daemon/signal_watcher.h"
#include "node/node.h"

namespace gannetcourse::daemon {
namespace {

const Duration kLogCloseTimeout{1};

std::string randomIncarnation() {
  std::random_device random;
  char text[16];
  std::snprintf(text, sizeof text, "%08x", random());
  return text;
}

config::NodeSettings loadSettingsWithSeed(const std::string& path) {
  config::NodeSettings settings = config::loadSettings(path);
  if (settings.policy.seed == 0) settings.policy.seed = std::random_device()() | 1U;
  return settings;
}

// Owns a node, its log and its signals. Order of the members: signals must be blocked before the log's thread
// starts.
class NodeProcess {
 public:
  explicit NodeProcess(const std::string& path)
      : path_(path),
        settings_(loadSettingsWithSeed(path)),
        signals_(loop_, [this](int number) { onSignal(number); }),
        log_(settings_.logFile) {
    log_.setLevels(settings_.logLevel, settings_.packageLogLevels);
    node_ = std::make_unique<node::Node>(loop_, settings_, randomIncarnation(), nodeHooks());
  }

  // Runs the node until a signal has drained it, then closes the log.
  void run() {
    std::cout << "listening " << node_->port() << std::endl;
    log_.write("daemon", "info", "listening on port " + std::to_string(node_->port()));
    loop_.run();
    loop_.runOnce(Duration(0));  // sends pending output
    log_.write("daemon", "info", "drained");
    log_.close(kLogCloseTimeout);
  }

 private:
  node::Node::Hooks nodeHooks() {
    node::Node::Hooks hooks;
    hooks.onRecord = [this](const router::Record& record) { log_.write(record); };
    hooks.log = [this](const std::string& package, const std::string& level, const std::string& text) {
      log_.write(package, level, text);
    };
    return hooks;
  }

  void onSignal(int number) {
    if (number == SIGHUP) {
      reload();
    } else {
      drain();
    }
  }

  void reload() {
    try {
      const config::NodeSettings updated = config::loadSettings(path_);
      node_->reload(updated);
      log_.setLevels(updated.logLevel, updated.packageLogLevels);
      log_.write("daemon", "info", "settings reloaded");
    } catch (const std::exception& error) {
      log_.write("daemon", "error", std::string("reload refused, the old settings stay: ") + error.what());
    }
  }

  // Only the first signal starts a drain. The loop stops once the node has neither open requests nor pending
  // releases.
  void drain() {
    if (draining_) return;
    draining_ = true;
    log_.write("daemon", "info", "draining");
    node_->drain([this] { loop_.stop(); });
  }

  std::string path_;
  config::NodeSettings settings_;  // of the start; after a reload the node has the current ones
  net::Loop loop_;
  SignalWatcher signals_;
  Log log_;
  std::unique_ptr<node::Node> node_;
  bool draining_ = false;
};

}  // namespace

int runNode(const std::string& settingsPath) {
  return runReportingFaults([&settingsPath] { NodeProcess(settingsPath).run(); });
}

}  // namespace gannetcourse::daemon
