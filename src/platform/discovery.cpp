#include "platform/discovery.h"

#include <utility>

namespace gannetcourse::platform {
namespace {

using instance::Json;

// An empty line comes every 2 s. A change counts as told 6 s after discovery had it: a watch without a sign
// of life for kSilent gets a second one beside it, opened anew every kRenew until one of them speaks.
const Duration kSilent{2.8}, kRenew{2.5}, kLook{0.2};
// Pauses before one that ended or was refused is opened again; the first again after one that lived for a
// while.
const Duration kRetryFirst{0.2}, kRetryMost{0.5}, kLived{2};
const Duration kOlderFor{2};  // discovery that tells only lists older than ours for this long counts anew
constexpr std::size_t kMostObject = 8U << 20;  // bytes of one object

http1::ClientOptions watchOptions() {
  http1::ClientOptions options;
  options.limits.maxBodyBytes = 0;
  options.maxConnections = 2;
  options.connectTimeout = Duration(0.5);
  return options;
}

EngineEntry::State stateOf(const std::string& status) {
  if (status == "removed") return EngineEntry::State::kRemoved;
  return status == "draining" ? EngineEntry::State::kDraining : EngineEntry::State::kServing;
}

// What an engine that is to be sent work has to tell of itself. Throws instance::Malformed.
void readDescription(EngineListMessageEntry& told, const Json& entry, const instance::InstanceNames& names,
                     const net::WallClock& clock) {
  told.address = net::parseEndpoint(instance::stringOr(entry, "address", ""));
  names.describeEngine(told.entry, instance::stringOr(entry, "type", ""),
                       instance::stringOr(entry, "zone", ""));
  told.entry.cell = static_cast<std::uint32_t>(instance::unsignedOr(entry, "group", 0, 0xffffffffU));
  told.entry.startedAt = clock.instant(static_cast<std::int64_t>(instance::numberOr(entry, "since_ms", 0)));
}

// Nothing where the engine cannot be sent work by what its entry says. A drain or removal counts whatever
// else its entry says: to pass it over would be to go on sending.
std::optional<EngineListMessageEntry> readTarget(const Json& entry, const instance::InstanceNames& names,
                                                 const net::WallClock& clock) {
  if (!entry.is_object()) return std::nullopt;
  EngineListMessageEntry told;
  told.entry.id = engineIdOf(instance::requireString(entry, "name"));
  told.entry.state = stateOf(instance::stringOr(entry, "status", "up"));
  const bool serves = told.entry.state == EngineEntry::State::kServing;
  try {
    readDescription(told, entry, names, clock);
  } catch (const instance::MalformedInput&) {
    if (serves) throw;
  }
  if (serves && !told.address) return std::nullopt;
  return told;
}

}  // namespace

EngineListUpdate EngineListMessage::toUpdate() const {
  EngineListUpdate list{isSnapshot ? EngineListUpdate::Scope::kSnapshot : EngineListUpdate::Scope::kDelta,
                        {}};
  for (const EngineListMessageEntry& engine : engines) list.entries.push_back(engine.entry);
  return list;
}

// FNV-1a, 32 bits. Homes of sessions go by these numbers: nodes of all versions must agree on them, and
// another hash moves every home.
EngineId engineIdOf(const std::string& name) {
  std::uint32_t hash = 2166136261U;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  return {hash};
}

std::optional<EngineListMessage> parseEngineListMessage(const Json& object,
                                                        const instance::InstanceNames& names,
                                                        const net::WallClock& clock) {
  if (!object.is_object()) return std::nullopt;
  EngineListMessage list;
  try {
    list.index = instance::unsignedOr(object, "index", 0, UINT64_MAX);
    list.isSnapshot = instance::boolOrFalse(object, "snapshot");
    for (const Json& entry : instance::arrayOrEmpty(object, "endpoints")) {
      try {
        if (auto told = readTarget(entry, names, clock)) list.engines.push_back(std::move(*told));
      } catch (const instance::MalformedInput&) {  // one entry of another kind hides no other
      }
    }
  } catch (const instance::MalformedInput&) {
    return std::nullopt;
  }
  return list;
}

// ---- Objects out of the bytes of a watch ----
bool JsonStreamSplitter::feed(std::string_view bytes, const std::function<void(std::string object)>& tell) {
  bool alive = false;
  for (const char c : bytes) {
    if (depth_ == 0 && c != '{') {
      alive = alive || c == '\n';
      continue;
    }
    object_.push_back(c);
    if (std::exchange(escaped_, false)) continue;
    if (inString_) {
      escaped_ = c == '\\';
      inString_ = c != '"';
    } else if (c == '"') {
      inString_ = true;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if ((c == '}' || c == ']') && --depth_ == 0) {
      alive = true;
      tell(std::exchange(object_, {}));
    }
    if (object_.size() > kMostObject) *this = {};
  }
  return alive;
}

// ---- Which lists are news ----
EngineListVersion::Decision EngineListVersion::classify(std::uint64_t index, bool whole, Instant now) {
  if (index < latestIndex_) {
    if (!staleSince_) staleSince_ = now;
    if (!whole || now - *staleSince_ < kOlderFor) return Decision::kResync;
  }
  latestIndex_ = index;
  staleSince_.reset();
  return Decision::kApply;
}

// ---- The watch ----
class DiscoveryWatch::Stream final : public http1::ResponseHandler,
                                     public std::enable_shared_from_this<DiscoveryWatch::Stream> {
 public:
  explicit Stream(DiscoveryWatch& watch)
      : watch_(&watch), openedAt(watch.loop_.now()), lastActivityAt(openedAt) {}
  void onHead(const http1::ResponseHead& head) override { statusOk_ = head.status == 200; }
  void onBody(std::string_view bytes) override {
    const std::shared_ptr<Stream> self = shared_from_this();
    if (watch_ == nullptr || !statusOk_) return;
    const bool alive = splitter_.feed(bytes, [this](const std::string& object) {
      if (watch_ != nullptr) watch_->onActivity(*this, &object);
    });
    if (alive && watch_ != nullptr) watch_->onActivity(*this, nullptr);
  }
  void onEnd(http1::CallResult, const std::string&) override {
    const std::shared_ptr<Stream> self = shared_from_this();
    if (watch_ != nullptr) watch_->onStreamEnded(self);
  }
  void close() {
    if (watch_ != nullptr) std::exchange(watch_, nullptr)->client_.cancel(call);
  }

 private:
  DiscoveryWatch* watch_;
  JsonStreamSplitter splitter_;
  bool statusOk_ = false;

 public:
  http1::CallId call = 0;
  const Instant openedAt;
  Instant lastActivityAt;
};

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, const net::Endpoint& at, std::uint64_t from,
                               std::uint64_t seed, ObjectHandler told, LogHandler note)
    : loop_(loop),
      endpoint_(at),
      resumeIndex_(from),
      random_(seed),
      onObject_(std::move(told)),
      log_(std::move(note)),
      client_(loop, watchOptions()) {
  openStream();
  livenessTimer_ = loop_.runAfter(kLook, [this] { checkLiveness(); });
}

DiscoveryWatch::~DiscoveryWatch() {
  for (const auto& stream : {active_, replacement_}) {
    if (stream) stream->close();
  }
  loop_.cancelTimer(reopenTimer_);
  loop_.cancelTimer(livenessTimer_);
}

void DiscoveryWatch::changeEndpoint(const net::Endpoint& at) {
  endpoint_ = at;
  backoff_ = kRetryFirst;
  replacingActive_ = true;
  openStream();
}

void DiscoveryWatch::requestSnapshot() {
  ++snapshotRequests_;
  snapshotRequested_ = replacingActive_ = true;
  openStreamAfter(kRetryMost);
}

void DiscoveryWatch::openStreamAfter(Duration pause) {
  if (reopenTimer_ != 0) return;
  const Duration wait = pause * std::uniform_real_distribution<double>(0.5, 1)(random_);
  reopenTimer_ = loop_.runAfter(wait, [this] {
    reopenTimer_ = 0;
    openStream();
  });
}

// Opens one, beside the one that has been open for longest, if any.
void DiscoveryWatch::openStream() {
  loop_.cancelTimer(std::exchange(reopenTimer_, 0));
  if (replacement_) replacement_->close();
  replacement_.reset();
  ++watchesOpened_;
  const auto stream = std::make_shared<Stream>(*this);
  (active_ ? replacement_ : active_) = stream;
  const std::uint64_t from = std::exchange(snapshotRequested_, false) ? 0 : resumeIndex_;
  std::string head = "GET /api/targets?watch=1&from=" + std::to_string(from) +
                     " HTTP/1.1\r\nHost: " + endpoint_.text() + "\r\n\r\n";
  stream->call = client_.start(
      endpoint_, [head = std::move(head)] { return head; }, nullptr, stream);
}

// Who speaks stays; the other has been silent for longer, and goes. One that is to be replaced goes on
// speaking until the other does.
void DiscoveryWatch::onActivity(Stream& stream, const std::string* object) {
  stream.lastActivityAt = loop_.now();
  if (log_ && std::exchange(silenceLogged_, false)) log_("discovery speaks again");
  if (stream.lastActivityAt - stream.openedAt > kLived) backoff_ = kRetryFirst;
  if (replacement_ && replacement_.get() == &stream) {
    active_->close();
    active_ = std::exchange(replacement_, nullptr);
    replacingActive_ = false;
  } else if (replacement_ && !replacingActive_) {
    std::exchange(replacement_, nullptr)->close();
  }
  if (object != nullptr) onObject_(*object);
}

void DiscoveryWatch::onStreamEnded(const std::shared_ptr<Stream>& stream) {
  if (stream != active_ && stream != replacement_) return;
  stream->close();
  if (stream == active_) active_ = std::exchange(replacement_, nullptr);
  replacement_.reset();
  openStreamAfter(backoff_);
  backoff_ = std::min(kRetryMost, 2 * backoff_);
}

void DiscoveryWatch::checkLiveness() {
  livenessTimer_ = loop_.runAfter(kLook, [this] { checkLiveness(); });
  if (reopenTimer_ != 0 || !active_) return;
  const Instant now = loop_.now();
  const bool silent = now - active_->lastActivityAt > kSilent;
  if (log_ && silent && !std::exchange(silenceLogged_, true))
    log_("discovery is silent: a second watch is opened");
  if (replacement_ ? now - replacement_->openedAt > kRenew : silent) openStream();
}

}  // namespace gannetcourse::platform
