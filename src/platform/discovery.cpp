#include "platform/discovery.h"

#include <utility>

namespace gannetcourse::platform {
namespace {

using instance::Json;

const Duration kRetry{0.2};  // before a watch that ended is opened again
const Duration kSilent{5};   // an empty line comes every 2 s: without one for this long the watch is dead
const Duration kLook{0.5};
constexpr std::size_t kMostLine = 8U << 20;  // bytes of one object

http1::ClientOptions watchOptions() {
  http1::ClientOptions options;
  options.limits.body = 0;
  options.maxConnections = 2;
  options.connectTimeout = Duration(1);
  return options;
}

std::optional<ToldEngine> readTarget(const Json& entry, const instance::Names& names,
                                     const net::WallClock& clock) {
  if (!entry.is_object()) return std::nullopt;
  ToldEngine told;
  told.entry.id = numberOf(instance::text(entry, "name"));
  const std::string status = instance::word(entry, "status", "up");
  told.entry.state = status == "removed"    ? ServerEntry::State::kGone
                     : status == "draining" ? ServerEntry::State::kDraining
                                            : ServerEntry::State::kServing;
  const auto address = net::parseEndpoint(instance::word(entry, "address", ""));
  if (!address && told.entry.state != ServerEntry::State::kGone) return std::nullopt;
  told.address = address.value_or(net::Endpoint{});
  names.describe(told.entry, instance::word(entry, "type", ""), instance::word(entry, "zone", ""));
  told.entry.cell = static_cast<std::uint32_t>(instance::integer(entry, "group", 0, 0xffffffffU));
  told.entry.startedAt = clock.instant(static_cast<std::int64_t>(instance::number(entry, "since_ms", 0)));
  return told;
}

}  // namespace

ServerList ToldList::forPolicy() const {
  ServerList list{full ? ServerList::Scope::kFull : ServerList::Scope::kChanges, {}};
  for (const ToldEngine& engine : engines) list.entries.push_back(engine.entry);
  return list;
}

// FNV-1a, 32 bits. Homes of sessions go by these numbers: nodes of all versions must agree on them, and
// another hash moves every home.
ServerId numberOf(const std::string& name) {
  std::uint32_t hash = 2166136261U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  return {hash};
}

std::optional<ToldList> readTargets(const Json& object, const instance::Names& names,
                                    const net::WallClock& clock) {
  if (!object.is_object()) return std::nullopt;
  ToldList list;
  try {
    list.index = instance::integer(object, "index", 0, UINT64_MAX);
    list.full = instance::flag(object, "snapshot");
    for (const Json& entry : instance::list(object, "endpoints")) {
      try {
        if (auto told = readTarget(entry, names, clock)) list.engines.push_back(std::move(*told));
      } catch (const instance::Malformed&) {  // one entry of another kind hides no other
      }
    }
  } catch (const instance::Malformed&) {
    return std::nullopt;
  }
  return list;
}

class Watch::Stream final : public http1::CallSink {
 public:
  explicit Stream(Watch& watch) : watch_(&watch) {}
  void head(const http1::ResponseHead& head) override { good_ = head.status == 200; }
  void body(std::string_view bytes) override {
    if (watch_ != nullptr && good_) watch_->bytes(bytes);
  }
  void end(http1::End, const std::string&) override {
    if (watch_ != nullptr) watch_->again();
  }
  void leave() { watch_ = nullptr; }

 private:
  Watch* watch_;
  bool good_ = false;
};

Watch::Watch(net::Loop& loop, const net::Endpoint& at, std::uint64_t from, Told told)
    : loop_(loop), at_(at), index_(from), told_(std::move(told)), client_(loop, watchOptions()) {
  open();
  look_ = loop_.after(kLook, [this] { look(); });
}

Watch::~Watch() {
  if (stream_) stream_->leave();
  loop_.cancel(retry_);
  loop_.cancel(look_);
}

void Watch::open() {
  retry_ = 0;
  line_.clear();
  heardAt_ = loop_.now();
  stream_ = std::make_shared<Stream>(*this);
  call_ = client_.start(at_,
                        "GET /api/targets?watch=1&from=" + std::to_string(index_) +
                            " HTTP/1.1\r\nHost: " + at_.text() + "\r\n\r\n",
                        nullptr, stream_);
}

void Watch::again() {
  if (stream_) stream_->leave();
  stream_.reset();
  call_ = 0;
  if (retry_ == 0) retry_ = loop_.after(kRetry, [this] { open(); });
}

void Watch::look() {
  if (call_ != 0 && loop_.now() - heardAt_ > kSilent) {
    client_.cancel(call_);
    again();
  }
  look_ = loop_.after(kLook, [this] { look(); });
}

void Watch::bytes(std::string_view bytes) {
  heardAt_ = loop_.now();
  line_.append(bytes);
  for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n')) {
    const std::string line = line_.substr(0, end);
    line_.erase(0, end + 1);
    if (line.find('{') != std::string::npos) told_(line);
  }
  if (line_.size() > kMostLine) line_ = {};
}

}  // namespace gannetcourse::platform
