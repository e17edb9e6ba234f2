#include <malloc.h>

#include <csignal>
#include <functional>
#include <iostream>

#include "daemon/log.h"
#include "daemon/serve.h"
#include "daemon/signals.h"
#include "platform/node.h"

namespace gannetcourse::daemon {
namespace {

constexpr std::size_t kLogQueue = 256;  // lines: a node's memory is small
constexpr int kTrimAbove = 256 * 1024;  // bytes free at the top of the heap that go back to the system

void reload(const std::string& path, platform::Node& node, Log& log) {
  try {
    node.reload(platform::loadConfiguration(path));
    log.write("daemon", "info", "configuration reloaded");
  } catch (const std::exception& fault) {
    log.write("daemon", "error", std::string("reload refused, the old configuration stays: ") + fault.what());
  }
}

}  // namespace

int platformNode(bool records) {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimAbove);
  try {
    const std::string path = platform::configurationPath();
    platform::Configuration configuration = platform::loadConfiguration(path);
    net::Loop loop;
    std::function<void(int)> onSignal;
    Signals signals(loop, [&](int number) { onSignal(number); });  // blocked before any thread starts
    Log log("", kLogQueue);
    log.setLevels(records ? "debug" : "info", {});
    std::function<void(const router::Record&)> record;
    if (records) record = [&](const router::Record& r) { log.write(r); };
    platform::Node node(
        loop, std::move(configuration),
        [&](const std::string& package, const std::string& level, const std::string& text) {
          log.write(package, level, text);
        },
        record);
    onSignal = [&](int number) {
      if (number == SIGHUP) return reload(path, node, log);
      log.write("daemon", "info", "draining");
      node.drain([&] { loop.stop(); });
    };
    log.write("daemon", "info", "listening on port " + std::to_string(node.port()));
    loop.run();
    log.write("daemon", "info", "drained: " + node.account());
    return 0;
  } catch (const std::exception& fault) {
    std::cerr << "gannetcourse: " << fault.what() << '\n';
  }
  return 1;
}

}  // namespace gannetcourse::daemon
