// `gannetcourse serve`: a node as a process. SIGHUP reloads, SIGTERM and SIGINT drain.
#pragma once

#include <string>

namespace gannetcourse::daemon {

// Runs until drained. Returns the exit code: 0 after a drain, 1 where it cannot start.
// Prints one line "listening PORT" to standard output once it serves.
int runNode(const std::string& settingsPath);

// `gannetcourse platform`: a node on the platform's protocol, all of it told by what NODE_CONFIG names.
// SIGHUP reads that again, SIGTERM drains. `records`: one log line for each decision. Returns as serve()
// does.
int runPlatformNode(bool records);

// `gannetcourse check`: prints every fault, or what the node would do. Returns 0 where the file is usable.
int checkSettings(const std::string& settingsPath);

}  // namespace gannetcourse::daemon
