// Structured logs: a JSON object a line, levels by package, written by a thread of their own.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::daemon {

/// Writes never block: where the queue is full the oldest lines are dropped.
class Log {
 public:
  static constexpr std::size_t kDefaultQueueLines = 32768;

  /// Writes to standard error where `file` is empty. `queueLines` may wait for a slow disk.
  /// Throws std::runtime_error where the file cannot be opened.
  explicit Log(const std::string& file, std::size_t queueLines = kDefaultQueueLines);
  /// Writes what is queued, however long that takes.
  ~Log();

  /// Writes what is queued. Where that takes longer than `timeout`, as when nobody reads standard error, the
  /// process ends at once with exit code 0. Nothing can be written afterwards.
  void close(Duration timeout);

  /// Levels are trace, debug, info, warn and error; `packages` are exceptions from `level`.
  void setLevels(const std::string& level, const std::map<std::string, std::string>& packages);
  void write(const std::string& package, const std::string& level, const std::string& text);
  /// One decision, as of package "router": level info for what ends a request, debug for the rest.
  void write(const router::Record& record);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;  // null: closed
};

}  // namespace gannetcourse::daemon
