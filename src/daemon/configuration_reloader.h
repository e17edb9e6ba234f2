// The platform node's answer to SIGHUP.
#pragma once

#include <string>

#include "daemon/log.h"
#include "net/loop.h"
#include "platform/node.h"

namespace gannetcourse::daemon {

/// Reads the configuration again, and retries after a pause where that fails: the file may still be written
/// when the signal comes, or may not be opened for a moment. The loop, node and log must outlive it.
class ConfigurationReloader {
 public:
  ConfigurationReloader(net::Loop& loop, std::string path, platform::Node& node, Log& log);
  ~ConfigurationReloader();
  ConfigurationReloader(const ConfigurationReloader&) = delete;
  ConfigurationReloader& operator=(const ConfigurationReloader&) = delete;

  /// Starts anew, with all attempts; logs success, and each failure that differs from the one before.
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
