// Caches the newest engine list in a file, for the node's next start.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace gannetcourse::discovery {

/// Owns a thread that writes the newest engine list, so that a slow disk does not block the loop. The file
/// always contains a complete list, also after a crash.
class EngineListCache {
 public:
  explicit EngineListCache(std::string path);  ///< Empty = nothing is written.
  ~EngineListCache();                          ///< Waits until the last list is written.
  EngineListCache(const EngineListCache&) = delete;
  EngineListCache& operator=(const EngineListCache&) = delete;

  /// Writes `text` in the background. Replaces an earlier text whose write has not started.
  void save(std::string text);
  /// Number of writes that have failed.
  std::uint64_t failures() const;

 private:
  class Writer;
  std::unique_ptr<Writer> writer_;  // null: no path
};

}  // namespace gannetcourse::discovery
