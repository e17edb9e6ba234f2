#include "discovery/engine_list_cache.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

namespace gannetcourse::discovery {
namespace {

constexpr mode_t kReadableByAll = 0644;

bool writeAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto written = ::write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

bool writeFile(const std::string& path, const std::string& text) {
  const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kReadableByAll);
  if (fd < 0) return false;
  const bool written = writeAll(fd, text) && ::fsync(fd) == 0;
  return ::close(fd) == 0 && written;
}

// Writes and syncs a temporary file, then renames it to `path`: readers see either the old or the new text.
bool replaceFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  return writeFile(temporary, text) && std::rename(temporary.c_str(), path.c_str()) == 0;
}

}  // namespace

class EngineListCache::Writer {
 public:
  explicit Writer(std::string path) : path_(std::move(path)), thread_([this] { run(); }) {}
  ~Writer() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopped_ = true;
    }
    wakeup_.notify_one();
    thread_.join();
  }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void save(std::string text) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      pendingText_ = std::move(text);
    }
    wakeup_.notify_one();
  }
  std::uint64_t failures() const { return failures_; }

 private:
  void run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
      wakeup_.wait(lock, [this] { return stopped_ || !pendingText_.empty(); });
      if (pendingText_.empty()) return;
      const std::string text = std::exchange(pendingText_, {});
      lock.unlock();
      if (!replaceFile(path_, text)) ++failures_;
      lock.lock();
    }
  }

  std::string path_;
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::string pendingText_;  // guarded by mutex_; empty = nothing to write
  bool stopped_ = false;     // guarded by mutex_
  std::atomic<std::uint64_t> failures_{0};
  std::thread thread_;  // declared last: it uses the other members
};

EngineListCache::EngineListCache(std::string path) {
  if (!path.empty()) writer_ = std::make_unique<Writer>(std::move(path));
}

EngineListCache::~EngineListCache() = default;

void EngineListCache::save(std::string text) {
  if (writer_) writer_->save(std::move(text));
}

std::uint64_t EngineListCache::failures() const { return writer_ ? writer_->failures() : 0; }

}  // namespace gannetcourse::discovery
