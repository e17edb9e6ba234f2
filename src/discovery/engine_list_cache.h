// The file that keeps the newest engine list for the node's next start.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace gannetcourse::discovery {

/// Writes the newest of the texts it is given to a file, on a thread of its own: a slow disk delays nobody.
/// The file holds a whole text at any time, also after a crash.
class EngineListCache {
 public:
  explicit EngineListCache(std::string path);  ///< Empty: writes nothing.
  ~EngineListCache();                          ///< Waits until the last text is written.
  EngineListCache(const EngineListCache&) = delete;
  EngineListCache& operator=(const EngineListCache&) = delete;

  /// Replaces a text that is not yet written.
  void save(std::string text);
  /// Writes that have failed since the start.
  std::uint64_t failures() const;

 private:
  class Writer;
  std::unique_ptr<Writer> writer_;  // null: no path
};

}  // namespace gannetcourse::discovery
