// Structured log: one JSON object per line, with a level for each package, written by a separate thread.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::daemon {

/// Owns the queue and its writer thread. Writes never block: if the queue is full, the oldest lines are
/// dropped.
class Log {
 public:
  static constexpr std::size_t kDefaultQueueLines = 32768;

  /// Writes to standard error if `file` is empty. At most `queueLines` lines are queued while the disk is
  /// slow. Throws std::runtime_error if the file cannot be opened.
  explicit Log(const std::string& file, std::size_t queueLines = kDefaultQueueLines);
  /// Writes the queued lines, without a time limit.
  ~Log();

  /// Writes the queued lines. If that takes longer than `timeout`, for example because nobody reads standard
  /// error, the process exits at once with code 0. Later writes are ignored.
  void close(Duration timeout);

  /// Levels are trace, debug, info, warn, error and off; `packages` overrides `level` for single packages.
  void setLevels(const std::string& level, const std::map<std::string, std::string>& packages);
  void write(const std::string& package, const std::string& level, const std::string& text);
  /// Writes one decision under package "router": invariant violations with level error, ends of requests,
  /// drains and reconfigurations with info, others with debug.
  void write(const router::Record& record);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;  // null once closed
};

}  // namespace gannetcourse::daemon
