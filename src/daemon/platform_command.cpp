#include <malloc.h>

#include <csignal>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include "daemon/commands.h"
#include "daemon/configuration_reloader.h"
#include "daemon/fault_report.h"
#include "daemon/log.h"
#include "daemon/signal_watcher.h"
#include "net/retry.h"
#include "platform/node.h"

namespace gannetcourse::daemon {
namespace {

constexpr std::size_t kLogQueueLines = 256;      // a node's memory is small
constexpr int kTrimThresholdBytes = 256 * 1024;  // free at the top of the heap, returned to the system
const Duration kListenRetryDelay{0.05};          // after the node could not listen
const Duration kListenRetryLimit{20};            // the process that had the address may still be ending
const Duration kIncompleteFileRetryLimit{1};     // the rest of the configuration may still be written
const Duration kResourceRetryLimit{5};           // for descriptors and memory
const Duration kLogCloseTimeout{1};

void limitHeap() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

template <class Make>
auto withResources(const Make& make) {
  return net::retryOn<std::system_error>(kResourceRetryLimit, make);
}

platform::Configuration loadInitialConfiguration(const std::string& path) {
  return net::retryOn<platform::IncompleteConfiguration>(kIncompleteFileRetryLimit, [&path] {
    return withResources([&path] { return platform::loadConfiguration(path); });
  });
}

// A node, its log and its signals. Made in this order: signals are blocked before the log's thread starts.
class PlatformProcess {
 public:
  explicit PlatformProcess(bool recordsEnabled)
      : path_(platform::configurationPathFromEnvironment()),
        configuration_(loadInitialConfiguration(path_)),
        loop_(withResources([] { return std::make_unique<net::Loop>(); })),
        signals_(withResources([this] {
          return std::make_unique<SignalWatcher>(*loop_, [this](int number) { onSignal(number); });
        })),
        log_("", kLogQueueLines),
        recordsEnabled_(recordsEnabled) {
    log_.setLevels(recordsEnabled ? "debug" : "info", {});
  }

  // Starts the node, serves until a signal has drained it, then closes the log.
  void run() {
    startNode();
    if (node_) serve();
    log_.close(kLogCloseTimeout);
  }

 private:
  // Retries while the address cannot be had. Makes no node where a signal to drain comes before that.
  void startNode() {
    const Instant giveUpAt = loop_->now() + kListenRetryLimit;
    std::string lastFailure;
    while (!node_ && !drainRequested_) {
      try {
        node_ = makeNode();
      } catch (const std::system_error& error) {
        if (loop_->now() >= giveUpAt) throw;
        if (lastFailure != error.what())
          log_.write("daemon", "warn", std::string(error.what()) + "; trying again");
        lastFailure = error.what();
        loop_->runOnce(kListenRetryDelay);
      }
    }
  }

  std::unique_ptr<platform::Node> makeNode() {
    const auto writeLog = [this](const std::string& package, const std::string& level,
                                 const std::string& text) { log_.write(package, level, text); };
    std::function<void(const router::Record&)> onRecord;
    if (recordsEnabled_) onRecord = [this](const router::Record& record) { log_.write(record); };
    return std::make_unique<platform::Node>(*loop_, configuration_, writeLog, onRecord);
  }

  void serve() {
    reloader_ = std::make_unique<ConfigurationReloader>(*loop_, path_, *node_, log_);
    log_.write("daemon", "info", "listening on port " + std::to_string(node_->port()));
    loop_->run();
    log_.write("daemon", "info", "drained: " + node_->statisticsLine());
  }

  void onSignal(int number) {
    if (!reloader_) {
      if (number != SIGHUP) drainRequested_ = true;
    } else if (number == SIGHUP) {
      reloader_->reload();
    } else {
      drain();
    }
  }

  // The loop stops once the node has nothing left to answer or release.
  void drain() {
    log_.write("daemon", "info", "draining");
    node_->drain([this] { loop_->stop(); });
  }

  std::string path_;
  platform::Configuration configuration_;  // at the start; the node keeps the one in service
  std::unique_ptr<net::Loop> loop_;
  std::unique_ptr<SignalWatcher> signals_;
  Log log_;
  bool recordsEnabled_;
  bool drainRequested_ = false;  // by a signal before the node served
  std::unique_ptr<platform::Node> node_;
  std::unique_ptr<ConfigurationReloader> reloader_;  // while the node serves
};

}  // namespace

int runPlatformNode(bool recordsEnabled) {
  limitHeap();
  return runReportingFaults([recordsEnabled] { PlatformProcess(recordsEnabled).run(); });
}

}  // namespace gannetcourse::daemon
