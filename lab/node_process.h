// The nodes of a scenario: processes of the daemon, or the library on threads of this process.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "node/node.h"
#include "scenario.h"

namespace gannetcourse::lab {

/// A running node.
class NodeProcess {
 public:
  virtual ~NodeProcess() = default;
  virtual std::uint16_t port() const = 0;
  virtual void drain() = 0;  ///< It ends by itself once it has drained.
  /// Whether it has ended, and with exit code 0.
  virtual bool ended() = 0;
  virtual bool endedWell() const = 0;
  virtual int pid() const { return 0; }  ///< 0 where it is a thread.
  virtual void kill() = 0;               ///< At once, as a machine that crashes.
};

/// `binary` runs as `binary serve FILE`; its settings, output and log go to `folder`.
/// Throws std::runtime_error where it does not start.
std::unique_ptr<NodeProcess> startProcess(const std::string& binary, const std::string& folder,
                                          const std::string& name, const std::string& settings);
/// The library on a thread of its own; `makeDriver` is called on that thread, and may be null.
std::unique_ptr<NodeProcess> startInProcess(const std::string& name, const std::string& settings,
                                            node::Node::DriverFactory makeDriver);

}  // namespace gannetcourse::lab
