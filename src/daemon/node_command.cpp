#include <csignal>
#include <cstdio>
#include <functional>
#include <iostream>
#include <random>

#include "config/settings.h"
#include "daemon/commands.h"
#include "daemon/log.h"
#include "daemon/signal_watcher.h"
#include "node/node.h"

namespace gannetcourse::daemon {
namespace {

const Duration kLogWithin{1};  // for the last lines of the log at the exit

std::string startName() {
  std::random_device random;
  char text[16];
  std::snprintf(text, sizeof text, "%08x", random());
  return text;
}

void reload(const std::string& path, node::Node& node, Log& log) {
  try {
    const config::NodeSettings fresh = config::loadSettings(path);
    node.reload(fresh);
    log.setLevels(fresh.logLevel, fresh.packageLogLevels);
    log.write("daemon", "info", "settings reloaded");
  } catch (const std::exception& fault) {
    log.write("daemon", "error", std::string("reload refused, the old settings stay: ") + fault.what());
  }
}

void printFaults(const config::InvalidFile& faults) {
  for (const config::Fault& fault : faults.faults()) std::cerr << fault.text() << '\n';
}

}  // namespace

int runNode(const std::string& path) {
  try {
    config::NodeSettings settings = config::loadSettings(path);
    if (settings.policy.seed == 0) settings.policy.seed = std::random_device()() | 1U;
    net::Loop loop;
    std::function<void(int)> onSignal;
    SignalWatcher signals(loop, [&](int number) { onSignal(number); });  // blocked before any thread starts
    Log log(settings.logFile);
    log.setLevels(settings.logLevel, settings.packageLogLevels);
    node::Node::Hooks hooks;
    hooks.onRecord = [&](const router::Record& record) { log.write(record); };
    hooks.log = [&](const std::string& package, const std::string& level, const std::string& text) {
      log.write(package, level, text);
    };
    node::Node node(loop, settings, startName(), hooks);
    bool draining = false;
    onSignal = [&](int number) {
      if (number == SIGHUP) return reload(path, node, log);
      if (std::exchange(draining, true)) return;
      log.write("daemon", "info", "draining");
      node.drain([&] { loop.stop(); });
    };
    std::cout << "listening " << node.port() << std::endl;
    log.write("daemon", "info", "listening on port " + std::to_string(node.port()));
    loop.run();
    loop.runOnce(Duration(0));  // what is written goes out
    log.write("daemon", "info", "drained");
    log.close(kLogWithin);
    return 0;
  } catch (const config::InvalidFile& faults) {
    printFaults(faults);
  } catch (const std::exception& fault) {
    std::cerr << "gannetcourse: " << fault.what() << '\n';
  }
  return 1;
}

int checkSettings(const std::string& path) {
  try {
    const config::NodeSettings s = config::loadSettings(path);
    if (!s.resumeKeyFile.empty()) resume::Sealer::load(s.resumeKeyFile);
    std::cout << path << ": usable; node " << s.name << " in zone " << s.zone << ", " << s.classes.size()
              << " classes, " << s.tenants.size() << " tenants, engines from "
              << (s.registryAddress.empty() ? "file " + s.engineListFile : "registry " + s.registryAddress)
              << '\n';
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
      const Duration within = s.classes[i].firstTokenTimeout;
      std::cout << "class " << s.classes[i].name << ": first token aimed at within "
                << config::formatDuration(s.policy.classes[i].ttftObjective) << ", given up "
                << (within.count() > 0 ? "after " + config::formatDuration(within) : "at the call's deadline")
                << "; at most " << s.policy.maxAttempts << " attempts, never two at once; answered "
                << config::formatDuration(s.responseMargin) << " before the client's time is up\n";
    }
    return 0;
  } catch (const config::InvalidFile& faults) {
    printFaults(faults);
  } catch (const std::exception& fault) {
    std::cerr << "gannetcourse: " << fault.what() << '\n';
  }
  return 1;
}

}  // namespace gannetcourse::daemon
