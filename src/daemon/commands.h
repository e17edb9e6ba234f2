// The program's commands. Each returns the process's exit code: 0, or 1 after printing one line for each
// fault to standard error.
#pragma once

#include <string>

namespace gannetcourse::daemon {

/// `gannetcourse serve`: runs a node until it has drained. SIGHUP reloads the settings, SIGTERM and SIGINT
/// start the drain. Prints one line "listening PORT" to standard output once the node accepts requests.
int runNode(const std::string& settingsPath);

/// `gannetcourse platform`: runs a node with the platform's protocol until it has drained. The environment
/// variable NODE_CONFIG is the path of its configuration. SIGHUP reloads that file, SIGTERM and SIGINT start
/// the drain. With `recordsEnabled`, each decision is logged as one line.
int runPlatformNode(bool recordsEnabled);

/// `gannetcourse check`: prints every fault of a settings file, or a summary of a valid one.
int checkSettings(const std::string& settingsPath);

}  // namespace gannetcourse::daemon
