// The program's commands. Each returns the process's exit code: 0, or 1 after a line on standard error for
// each fault.
#pragma once

#include <string>

namespace gannetcourse::daemon {

/// `gannetcourse serve`: runs a node until it has drained. SIGHUP reloads, SIGTERM and SIGINT drain. Prints
/// one line "listening PORT" to standard output once it serves.
int runNode(const std::string& settingsPath);

/// `gannetcourse platform`: runs a node on the platform's protocol, configured by the file that NODE_CONFIG
/// names, until it has drained. SIGHUP reads that file again, SIGTERM and SIGINT drain. `recordsEnabled`: one
/// log line for each decision.
int runPlatformNode(bool recordsEnabled);

/// `gannetcourse check`: prints every fault of a settings file, or what a node would do with it.
int checkSettings(const std::string& settingsPath);

}  // namespace gannetcourse::daemon
