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

constexpr std::size_t kLogQueueLines = 256;      // small because a platform node has little memory
constexpr int kTrimThresholdBytes = 256 * 1024;  // free memory at the heap's top beyond this is returned
const Duration kListenRetryDelay{0.05};          // between two attempts to listen
const Duration kListenRetryLimit{20};  // the previous process may still hold the address while it exits
const Duration kIncompleteFileRetryLimit{1};  // the configuration may not be completely written yet
const Duration kResourceRetryLimit{5};        // for shortages of descriptors and memory
const Duration kLogCloseTimeout{1};

void limitHeap() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

template <class Operation>
auto retryOnSystemError(const Operation& operation) {
  return net::retryOn<std::system_error>(kResourceRetryLimit, operation);
}

platform::Configuration loadInitialConfiguration(const std::string& path) {
  return net::retryOn<platform::IncompleteConfiguration>(kIncompleteFileRetryLimit, [&path] {
    return retryOnSystemError([&path] { return platform::loadConfiguration(path); });
  });
}

// Owns a node, its log and its signals. Order of the members: signals must be blocked before the log's thread
// starts.
class PlatformProcess {
 public:
  explicit PlatformProcess(bool recordsEnabled)
      : path_(platform::configurationPathFromEnvironment()),
        configuration_(loadInitialConfiguration(path_)),
        loop_(retryOnSystemError([] { return std::make_unique<net::Loop>(); })),
        signals_(retryOnSystemError([this] {
          return std::make_unique<SignalWatcher>(*loop_, [this](int number) { onSignal(number); });
        })),
        log_("", kLogQueueLines),
        recordsEnabled_(recordsEnabled) {
    log_.setLevels(recordsEnabled ? "debug" : "info", {});
  }

  // Starts the node, runs it until a signal has drained it, then closes the log.
  void run() {
    startNode();
    if (node_) serve();
    log_.close(kLogCloseTimeout);
  }

 private:
  // Retries while the node cannot listen at its address. Creates no node if a signal to drain arrives first.
  void startNode() {
    const Instant retryDeadline = loop_->now() + kListenRetryLimit;
    std::string lastFailure;
    while (!node_ && !drainRequested_) {
      try {
        node_ = createNode();
      } catch (const std::system_error& error) {
        if (loop_->now() >= retryDeadline) throw;
        if (lastFailure != error.what())
          log_.write("daemon", "warn", std::string(error.what()) + "; retrying");
        lastFailure = error.what();
        loop_->runOnce(kListenRetryDelay);
      }
    }
  }

  std::unique_ptr<platform::Node> createNode() {
    const auto writeLog = [this](const std::string& package, const std::string& level,
                                 const std::string& text) { log_.write(package, level, text); };
    std::function<void(const router::Record&)> onRecord;
    if (recordsEnabled_) onRecord = [this](const router::Record& record) { log_.write(record); };
    return std::make_unique<platform::Node>(*loop_, configuration_, writeLog, onRecord);
  }

  void serve() {
    configuration_ = {};
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

  // The loop stops once the node has neither open requests nor pending releases.
  void drain() {
    log_.write("daemon", "info", "draining");
    node_->drain([this] { loop_->stop(); });
  }

  std::string path_;
  platform::Configuration configuration_;  // of the start; empty once the node has it
  std::unique_ptr<net::Loop> loop_;
  std::unique_ptr<SignalWatcher> signals_;
  Log log_;
  bool recordsEnabled_;
  bool drainRequested_ = false;  // by a signal before the node listened
  std::unique_ptr<platform::Node> node_;
  std::unique_ptr<ConfigurationReloader> reloader_;  // set once the node listens
};

}  // namespace

int runPlatformNode(bool recordsEnabled) {
  limitHeap();
  return runReportingFaults([recordsEnabled] { PlatformProcess(recordsEnabled).run(); });
}

}  // namespace gannetcourse::daemon
