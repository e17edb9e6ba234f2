#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "daemon/commands.h"
#include "daemon/signal_watcher.h"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app(
      "gannetcourse: a router for language-model serving with prefill and decode on separate engines");
  app.require_subcommand(1);
  std::string settingsPath;
  CLI::App* const serve =
      app.add_subcommand("serve", "run a node; SIGHUP reloads the settings, SIGTERM drains");
  serve->add_option("-c,--config,settings", settingsPath, "settings file (XML)")->required();
  CLI::App* const check = app.add_subcommand("check", "check a settings file and summarize it");
  check->add_option("-c,--config,settings", settingsPath, "settings file (XML)")->required();
  bool recordsEnabled = false;
  CLI::App* const platform = app.add_subcommand(
      "platform", "run a node with the platform's protocol; NODE_CONFIG is the path of its configuration");
  platform->add_flag("--records", recordsEnabled, "log each decision");
  CLI::App* const version = app.add_subcommand("version", "print the version");
  CLI11_PARSE(app, argc, argv);

  if (version->parsed()) {
    std::cout << "gannetcourse " GANNETCOURSE_VERSION "\n";
    return 0;
  }
  if (check->parsed()) return gannetcourse::daemon::checkSettings(settingsPath);
  // Signals stay pending until the node's SignalWatcher reads them.
  gannetcourse::daemon::blockSignals();
  if (platform->parsed()) return gannetcourse::daemon::runPlatformNode(recordsEnabled);
  return gannetcourse::daemon::runNode(settingsPath);
}
