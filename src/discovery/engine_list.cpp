#include "discovery/engine_list.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <set>
#include <thread>

#include "config/xml.h"

namespace gannetcourse::discovery {
namespace {

const char* nameOf(Role role) {
  return role == Role::kPrefill ? "prefill" : role == Role::kDecode ? "decode" : "mixed";
}

Role roleOf(const std::string& name) {
  return name == "prefill" ? Role::kPrefill : name == "decode" ? Role::kDecode : Role::kMixed;
}

Engine readEngine(const config::Element& e, const EntryResolver& translator,
                  std::vector<config::Fault>& faults) {
  Engine engine;
  engine.entry.id = {static_cast<std::uint32_t>(e.count("id", 0))};
  engine.entry.role = roleOf(e.text("role"));
  engine.entry.cell = static_cast<std::uint32_t>(e.count("cell", 0));
  engine.entry.memoryTokens = e.number("memory-tokens", 0);
  engine.entry.state =
      e.text("state", "serving") == "serving" ? EngineEntry::State::kServing : EngineEntry::State::kDraining;
  engine.zone = e.text("zone");
  engine.startedUnixMs = static_cast<std::int64_t>(e.number("started-unix-ms", 0));
  engine.shutdownUnixMs = static_cast<std::int64_t>(e.number("leaves-unix-ms", 0));
  const auto address = net::parseEndpoint(e.text("address"));
  if (!address || address->port == 0) {
    faults.push_back(
        e.fault("address '" + e.text("address") + "' cannot be connected to", "write a.b.c.d:port"));
  } else {
    engine.address = *address;
  }
  translator.resolve(engine);
  return engine;
}

}  // namespace

EngineListUpdate EngineList::toPolicyUpdate() const {
  EngineListUpdate list{scope, {}};
  for (const Engine& engine : engines) list.entries.push_back(engine.entry);
  return list;
}

EntryResolver::EntryResolver(std::vector<std::string> zones, Instant now, std::int64_t unixMsNow)
    : zones_(std::move(zones)), clock_(now, unixMsNow) {}

std::uint32_t EntryResolver::zoneNumber(const std::string& name) const {
  return static_cast<std::uint32_t>(std::find(zones_.begin(), zones_.end(), name) - zones_.begin());
}

void EntryResolver::resolve(Engine& engine) const {
  engine.entry.zone = zoneNumber(engine.zone);
  engine.entry.startedAt = toInstant(engine.startedUnixMs);
  engine.shutdownAt = toInstant(engine.shutdownUnixMs);
}

EngineList loadEngineListFile(const std::string& path, const EntryResolver& translator) {
  const config::Document document = config::Document::load(path, fleetSchema());
  EngineList list;
  list.version = document.root().count("version", 0);
  std::vector<config::Fault> faults;
  std::set<EngineId> seen;
  for (const config::Element& e : document.root().children()) {
    list.engines.push_back(readEngine(e, translator, faults));
    const EngineId id = list.engines.back().entry.id;
    if (!seen.insert(id).second)
      faults.push_back(e.fault("engine " + std::to_string(id.value) + " is there twice", "remove one"));
  }
  if (!faults.empty()) throw config::InvalidFile(std::move(faults));
  return list;
}

std::string formatEngineList(const EngineList& list) {
  std::string text =
      "<fleet xmlns=\"urn:gannetcourse:fleet:1\" version=\"" + std::to_string(list.version) + "\">\n";
  for (const Engine& e : list.engines) {
    if (e.entry.state == EngineEntry::State::kRemoved) continue;
    text += "  <engine id=\"" + std::to_string(e.entry.id.value) +
            "\" address=" + config::quotedAttribute(e.address.text()) + " role=\"" + nameOf(e.entry.role) +
            "\" zone=" + config::quotedAttribute(e.zone) + " cell=\"" + std::to_string(e.entry.cell) +
            "\" memory-tokens=\"" + std::to_string(static_cast<std::uint64_t>(e.entry.memoryTokens)) +
            "\" state=\"" + (e.entry.state == EngineEntry::State::kServing ? "serving" : "draining") +
            "\" started-unix-ms=\"" + std::to_string(e.startedUnixMs) + "\" leaves-unix-ms=\"" +
            std::to_string(e.shutdownUnixMs) + "\"/>\n";
  }
  return text + "</fleet>\n";
}

void EngineListState::apply(const EngineList& list) {
  if (list.scope == EngineListUpdate::Scope::kFetchFailed) return;
  if (list.scope != EngineListUpdate::Scope::kDelta) engines_.clear();
  for (const Engine& engine : list.engines) {
    const auto at =
        std::lower_bound(engines_.begin(), engines_.end(), engine,
                         [](const Engine& a, const Engine& b) { return a.entry.id < b.entry.id; });
    const bool known = at != engines_.end() && at->entry.id == engine.entry.id;
    if (engine.entry.state == EngineEntry::State::kRemoved) {
      if (known) engines_.erase(at);
    } else if (known) {
      *at = engine;
    } else {
      engines_.insert(at, engine);
    }
  }
}

// ---- Saved list ----
class EngineListCache::Writer {
 public:
  explicit Writer(std::string path) : path_(std::move(path)), thread_([this] { run(); }) {}
  ~Writer() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stop_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  void save(std::string text) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      text_ = std::move(text);
    }
    wake_.notify_one();
  }
  std::uint64_t failures() const { return failures_; }

 private:
  void run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return stop_ || !text_.empty(); });
      if (text_.empty()) return;
      const std::string text = std::exchange(text_, {});
      lock.unlock();
      write(text);
      lock.lock();
    }
  }

  // A whole file or none: written beside, on the disk, then put in place.
  void write(const std::string& text) {
    const std::string beside = path_ + ".new";
    if (!writeWhole(beside, text) || std::rename(beside.c_str(), path_.c_str()) != 0) ++failures_;
  }

  static bool writeWhole(const std::string& path, const std::string& text) {
    constexpr int kReadableByAll = 0644;
    const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kReadableByAll);
    if (fd < 0) return false;
    const bool written = writeAll(fd, text) && ::fsync(fd) == 0;
    return ::close(fd) == 0 && written;
  }

  static bool writeAll(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
      const auto written = ::write(fd, bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
  }

  std::string path_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::string text_;
  bool stop_ = false;
  std::atomic<std::uint64_t> failures_{0};
  std::thread thread_;  // last: it uses all of the above
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
