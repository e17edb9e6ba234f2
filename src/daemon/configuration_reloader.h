// Reloads the platform node's configuration on SIGHUP.
#pragma once

#include <string>

#include "daemon/log.h"
#include "net/loop.h"
#include "platform/node.h"

namespace gannetcourse::daemon {

/// Loads the configuration again. Retries after a delay if that fails: the file may be incomplete when the
/// signal arrives, or may temporarily not be readable. The loop, node and log must outlive this object.
class ConfigurationReloader {
 public:
  ConfigurationReloader(net::Loop& loop, std::string path, platform::Node& node, Log& log);
  ~ConfigurationReloader();
  ConfigurationReloader(const ConfigurationReloader&) = delete;
  ConfigurationReloader& operator=(const ConfigurationReloader&) = delete;

  /// Starts a reload and resets its retry limit: earlier failed tries do not count. Logs success, and each
  /// failure that differs from the previous one.
  void reload();

 private:
  void attempt();
  void onFailure(const std::string& reason);

  net::Loop& loop_;
  std::string path_;
  platform::Node& node_;
  Log& log_;
  int attemptsLeft_ = 0;
  std::string lastFailure_;
  net::TimerId retryTimer_ = 0;
};

}  // namespace gannetcourse::daemon
