// The nodes of a scenario: daemon processes, or the library on threads of this process.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "node/node.h"
#include "scenario.h"

namespace gannetcourse::lab {

/// A running node, which the destructor kills if it has not ended.
class NodeProcess {
 public:
  virtual ~NodeProcess() = default;
  virtual std::uint16_t port() const = 0;
  virtual void drain() = 0;  ///< Starts draining; the node ends when it has drained.
  virtual bool ended() = 0;
  /// Whether it has ended with exit code 0 and was not killed.
  virtual bool exitedCleanly() const = 0;
  virtual int pid() const { return 0; }  ///< 0 for a thread.
  virtual void kill() = 0;               ///< Ends it immediately, like a crash.
};

/// Starts `binary serve FILE`; the settings file and the log are written to `folder`. Throws
/// std::runtime_error if the node does not report its port within 20 s.
std::unique_ptr<NodeProcess> startProcess(const std::string& binary, const std::string& folder,
                                          const std::string& name, const std::string& settings);
/// Runs the library on a new thread. `makeDriver` is called on that thread and may be null.
std::unique_ptr<NodeProcess> startInProcess(const std::string& name, const std::string& settings,
                                            node::Node::DriverFactory makeDriver);

}  // namespace gannetcourse::lab
