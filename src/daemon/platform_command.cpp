#include <malloc.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include "daemon/commands.h"
#include "daemon/log.h"
#include "daemon/signal_watcher.h"
#include "net/retry.h"
#include "platform/node.h"

namespace gannetcourse::daemon {
namespace {

constexpr std::size_t kLogQueue = 256;  // lines: a node's memory is small
constexpr int kTrimAbove = 256 * 1024;  // bytes free at the top of the heap that go back to the system
const Duration kReloadAgain{0.25};      // after a configuration could not be taken
constexpr int kReloadTries = 12;        // in all, for one signal
const Duration kStartAgain{0.05};       // after the node could not listen
const Duration kStartWithin{20};        // ... and for how long it is tried
const Duration kFileWithin{1};          // for how long a start waits for the rest of its file
const Duration kResourcesWithin{5};     // for how long a start waits for descriptors and memory
const Duration kLogWithin{1};           // for the last lines of the log at the exit

// Reads the configuration again, and once more after a pause where that fails: the file may still be written
// when the signal comes, or may not be opened for a moment.
class Reloader {
 public:
  Reloader(net::Loop& loop, std::string path, platform::Node& node, Log& log)
      : loop_(loop), path_(std::move(path)), node_(node), log_(log) {}
  ~Reloader() { loop_.cancelTimer(retry_); }
  Reloader(const Reloader&) = delete;
  Reloader& operator=(const Reloader&) = delete;

  void reload() {
    triesLeft_ = kReloadTries;
    lastFault_.clear();
    attempt();
  }

 private:
  void attempt() {
    loop_.cancelTimer(std::exchange(retry_, 0));
    try {
      node_.reload(platform::loadConfiguration(path_));
      log_.write("daemon", "info", "configuration reloaded");
    } catch (const std::exception& fault) {
      refused(fault.what());
    }
  }

  void refused(const std::string& fault) {
    if (std::exchange(lastFault_, fault) != fault)
      log_.write("daemon", "error", "reload refused, the old configuration stays: " + fault);
    if (--triesLeft_ <= 0) return;
    retry_ = loop_.runAfter(kReloadAgain, [this] {
      retry_ = 0;
      attempt();
    });
  }

  net::Loop& loop_;
  std::string path_;
  platform::Node& node_;
  Log& log_;
  int triesLeft_ = 0;
  std::string lastFault_;
  net::TimerId retry_ = 0;
};

// Makes the node; tried again for a while where its address cannot be had, as the process that had it before
// may still be at its end. Nothing where `stopped` says so meanwhile.
std::unique_ptr<platform::Node> startNode(net::Loop& loop, const platform::Configuration& configuration,
                                          const platform::Node::Log& log,
                                          const std::function<void(const router::Record&)>& record,
                                          const bool& stopped) {
  const Instant giveUpAt = loop.now() + kStartWithin;
  std::string lastFault;
  while (!stopped) {
    try {
      return std::make_unique<platform::Node>(loop, configuration, log, record);
    } catch (const std::system_error& fault) {
      if (loop.now() >= giveUpAt) throw;
      if (std::exchange(lastFault, fault.what()) != fault.what())
        log("daemon", "warn", lastFault + "; trying again");
      loop.runOnce(kStartAgain);
    }
  }
  return nullptr;
}

}  // namespace

int runPlatformNode(bool records) {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimAbove);
  try {
    const std::string path = platform::configurationPathFromEnvironment();
    const platform::Configuration configuration =
        net::retryOn<platform::IncompleteConfiguration>(kFileWithin, [&path] {
          return net::retryOn<std::system_error>(kResourcesWithin,
                                                 [&path] { return platform::loadConfiguration(path); });
        });
    const std::unique_ptr<net::Loop> ownLoop =
        net::retryOn<std::system_error>(kResourcesWithin, [] { return std::make_unique<net::Loop>(); });
    net::Loop& loop = *ownLoop;
    bool stopped = false;  // by a signal before the node stood
    std::function<void(int)> onSignal = [&](int number) { stopped = stopped || number != SIGHUP; };
    const auto signals =
        net::retryOn<std::system_error>(kResourcesWithin, [&] {  // blocked before any thread starts
          return std::make_unique<SignalWatcher>(loop, [&](int number) { onSignal(number); });
        });
    Log log("", kLogQueue);
    log.setLevels(records ? "debug" : "info", {});
    std::function<void(const router::Record&)> record;
    if (records) record = [&](const router::Record& r) { log.write(r); };
    const auto writeLog = [&](const std::string& package, const std::string& level, const std::string& text) {
      log.write(package, level, text);
    };
    const std::unique_ptr<platform::Node> node = startNode(loop, configuration, writeLog, record, stopped);
    if (node) {
      Reloader reloader(loop, path, *node, log);
      onSignal = [&](int number) {
        if (number == SIGHUP) return reloader.reload();
        log.write("daemon", "info", "draining");
        node->drain([&] { loop.stop(); });
      };
      log.write("daemon", "info", "listening on port " + std::to_string(node->port()));
      loop.run();
      log.write("daemon", "info", "drained: " + node->statisticsLine());
    }
    log.close(kLogWithin);
    return 0;
  } catch (const std::exception& fault) {
    std::cerr << "gannetcourse: " << fault.what() << '\n';
  }
  return 1;
}

}  // namespace gannetcourse::daemon
