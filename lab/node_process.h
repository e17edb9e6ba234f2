// The nodes of a scenario: daemon processes, or node::Node objects on threads of this process.
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
  /// Whether the node has ended after a drain, not by kill() or a crash; for a process, with exit code 0.
  virtual bool exitedCleanly() const = 0;
  virtual int pid() const { return 0; }  ///< 0 for a thread.
  virtual void kill() = 0;               ///< Ends the node immediately, without a drain.
};

/// Starts `binary serve FILE`; the settings file and the log are written to `folder`. Throws
/// std::runtime_error if the node does not report its port within 20 s.
std::unique_ptr<NodeProcess> startProcess(const std::string& binary, const std::string& folder,
                                          const std::string& name, const std::string& settings);
/// Runs a node::Node with its own event loop on a new thread of this process. `makeDriver` creates the node's
/// core driver and is called on that thread; if it is null, the node uses its default driver. Throws the
/// exception of the node's constructor, e.g. for invalid settings.
std::unique_ptr<NodeProcess> startInProcess(const std::string& name, const std::string& settings,
                                            node::Node::DriverFactory makeDriver);

}  // namespace gannetcourse::lab
