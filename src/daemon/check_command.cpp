#include <iostream>
#include <string>

#include "config/settings.h"
#include "daemon/commands.h"
#include "daemon/fault_report.h"
#include "resume/seal.h"

namespace gannetcourse::daemon {
namespace {

void printNode(const std::string& path, const config::NodeSettings& settings) {
  const std::string source = settings.registryAddress.empty() ? "file " + settings.engineListFile
                                                              : "registry " + settings.registryAddress;
  std::cout << path << ": usable; node " << settings.name << " in zone " << settings.zone << ", "
            << settings.classes.size() << " classes, " << settings.tenants.size() << " tenants, engines from "
            << source << '\n';
}

void printClass(const config::NodeSettings& settings, std::size_t index) {
  const config::ClassLimits& limits = settings.classes[index];
  const Duration timeout = limits.firstTokenTimeout;
  const std::string firstTokenWait =
      timeout.count() > 0 ? "at most " + config::formatDuration(timeout) : "until the client's deadline";
  std::cout << "class " << limits.name << ": first-token objective "
            << config::formatDuration(settings.policy.classes[index].ttftObjective)
            << ", waits for the first token " << firstTokenWait << "; at most " << settings.policy.maxAttempts
            << " attempts, one at a time; open requests end "
            << config::formatDuration(settings.responseMargin) << " before the client's deadline\n";
}

}  // namespace

int checkSettings(const std::string& settingsPath) {
  return runReportingFaults([&settingsPath] {
    const config::NodeSettings settings = config::loadSettings(settingsPath);
    if (!settings.resumeKeyFile.empty()) resume::Sealer::load(settings.resumeKeyFile);
    printNode(settingsPath, settings);
    for (std::size_t i = 0; i < settings.classes.size(); ++i) printClass(settings, i);
  });
}

}  // namespace gannetcourse::daemon
