// Structured logs: a JSON object a line, levels by package, written by a thread of their own.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "config/settings.h"
#include "gannetcourse/router.h"

namespace gannetcourse::daemon {

class Log {
 public:
  static constexpr std::size_t kDefaultQueueLines = 32768;
  // Standard error where `file` is empty. `queue`: lines that may wait for a slow disk; then the oldest go.
  // Throws std::runtime_error where the file cannot be opened.
  explicit Log(const std::string& file, std::size_t queue = kDefaultQueueLines);
  ~Log();  // writes what is due, however long that takes
  // Writes what is due; where that takes longer, as when nobody reads what the log goes to, the process ends
  // at once with exit code 0. Nothing may be written afterwards.
  void close(Duration most);

  void setLevels(const std::string& level, const std::map<std::string, std::string>& packages);
  void write(const std::string& package, const std::string& level, const std::string& text);
  // One decision; package "router", level info for what ends a request, debug for the rest.
  void write(const router::Record& record);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gannetcourse::daemon
