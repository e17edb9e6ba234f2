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
void readDescription(ToldEngine& told, const Json& entry, const instance::Names& names,
                     const net::WallClock& clock) {
  told.address = net::parseEndpoint(instance::word(entry, "address", ""));
  names.describe(told.entry, instance::word(entry, "type", ""), instance::word(entry, "zone", ""));
  told.entry.cell = static_cast<std::uint32_t>(instance::integer(entry, "group", 0, 0xffffffffU));
  told.entry.startedAt = clock.instant(static_cast<std::int64_t>(instance::number(entry, "since_ms", 0)));
}

// Nothing where the engine cannot be sent work by what its entry says. A drain or removal counts whatever
// else its entry says: to pass it over would be to go on sending.
std::optional<ToldEngine> readTarget(const Json& entry, const instance::Names& names,
                                     const net::WallClock& clock) {
  if (!entry.is_object()) return std::nullopt;
  ToldEngine told;
  told.entry.id = numberOf(instance::text(entry, "name"));
  told.entry.state = stateOf(instance::word(entry, "status", "up"));
  const bool serves = told.entry.state == EngineEntry::State::kServing;
  try {
    readDescription(told, entry, names, clock);
  } catch (const instance::Malformed&) {
    if (serves) throw;
  }
  if (serves && !told.address) return std::nullopt;
  return told;
}

}  // namespace

EngineListUpdate ToldList::forPolicy() const {
  EngineListUpdate list{full ? EngineListUpdate::Scope::kSnapshot : EngineListUpdate::Scope::kDelta, {}};
  for (const ToldEngine& engine : engines) list.entries.push_back(engine.entry);
  return list;
}

// FNV-1a, 32 bits. Homes of sessions go by these numbers: nodes of all versions must agree on them, and
// another hash moves every home.
EngineId numberOf(const std::string& name) {
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

// ---- Objects out of the bytes of a watch ----
bool ObjectCutter::take(std::string_view bytes, const std::function<void(std::string object)>& tell) {
  bool alive = false;
  for (const char c : bytes) {
    if (depth_ == 0 && c != '{') {
      alive = alive || c == '\n';
      continue;
    }
    object_.push_back(c);
    if (std::exchange(escaped_, false)) continue;
    if (quoted_) {
      escaped_ = c == '\\';
      quoted_ = c != '"';
    } else if (c == '"') {
      quoted_ = true;
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
ListVersion::Verdict ListVersion::look(std::uint64_t index, bool whole, Instant now) {
  if (index < held_) {
    if (!olderSince_) olderSince_ = now;
    if (!whole || now - *olderSince_ < kOlderFor) return Verdict::kAskWhole;
  }
  held_ = index;
  olderSince_.reset();
  return Verdict::kTake;
}

// ---- The watch ----
class Watch::Stream final : public http1::ResponseHandler,
                            public std::enable_shared_from_this<Watch::Stream> {
 public:
  explicit Stream(Watch& watch) : watch_(&watch), openedAt(watch.loop_.now()), heardAt(openedAt) {}
  void onHead(const http1::ResponseHead& head) override { good_ = head.status == 200; }
  void onBody(std::string_view bytes) override {
    const std::shared_ptr<Stream> self = shared_from_this();
    if (watch_ == nullptr || !good_) return;
    const bool alive = cutter_.take(bytes, [this](const std::string& object) {
      if (watch_ != nullptr) watch_->spoke(*this, &object);
    });
    if (alive && watch_ != nullptr) watch_->spoke(*this, nullptr);
  }
  void onEnd(http1::CallResult, const std::string&) override {
    const std::shared_ptr<Stream> self = shared_from_this();
    if (watch_ != nullptr) watch_->ended(self);
  }
  void leave() {
    if (watch_ != nullptr) std::exchange(watch_, nullptr)->client_.cancel(call);
  }

 private:
  Watch* watch_;
  ObjectCutter cutter_;
  bool good_ = false;

 public:
  http1::CallId call = 0;
  const Instant openedAt;
  Instant heardAt;
};

Watch::Watch(net::Loop& loop, const net::Endpoint& at, std::uint64_t from, std::uint64_t seed, Told told,
             Note note)
    : loop_(loop),
      at_(at),
      index_(from),
      random_(seed),
      told_(std::move(told)),
      note_(std::move(note)),
      client_(loop, watchOptions()) {
  openBeside();
  look_ = loop_.runAfter(kLook, [this] { look(); });
}

Watch::~Watch() {
  for (const auto& stream : {older_, newer_}) {
    if (stream) stream->leave();
  }
  loop_.cancelTimer(retry_);
  loop_.cancelTimer(look_);
}

void Watch::moveTo(const net::Endpoint& at) {
  at_ = at;
  pause_ = kRetryFirst;
  replacing_ = true;
  openBeside();
}

void Watch::askWhole() {
  ++wholeAsked_;
  askWhole_ = replacing_ = true;
  openAfter(kRetryMost);
}

void Watch::openAfter(Duration pause) {
  if (retry_ != 0) return;
  const Duration wait = pause * std::uniform_real_distribution<double>(0.5, 1)(random_);
  retry_ = loop_.runAfter(wait, [this] {
    retry_ = 0;
    openBeside();
  });
}

// Opens one, beside the one that has been open for longest, if any.
void Watch::openBeside() {
  loop_.cancelTimer(std::exchange(retry_, 0));
  if (newer_) newer_->leave();
  newer_.reset();
  ++opened_;
  const auto stream = std::make_shared<Stream>(*this);
  (older_ ? newer_ : older_) = stream;
  const std::uint64_t from = std::exchange(askWhole_, false) ? 0 : index_;
  std::string head = "GET /api/targets?watch=1&from=" + std::to_string(from) +
                     " HTTP/1.1\r\nHost: " + at_.text() + "\r\n\r\n";
  stream->call = client_.start(
      at_, [head = std::move(head)] { return head; }, nullptr, stream);
}

// Who speaks stays; the other has been silent for longer, and goes. One that is to be replaced goes on
// speaking until the other does.
void Watch::spoke(Stream& stream, const std::string* object) {
  stream.heardAt = loop_.now();
  if (note_ && std::exchange(silent_, false)) note_("discovery speaks again");
  if (stream.heardAt - stream.openedAt > kLived) pause_ = kRetryFirst;
  if (newer_ && newer_.get() == &stream) {
    older_->leave();
    older_ = std::exchange(newer_, nullptr);
    replacing_ = false;
  } else if (newer_ && !replacing_) {
    std::exchange(newer_, nullptr)->leave();
  }
  if (object != nullptr) told_(*object);
}

void Watch::ended(const std::shared_ptr<Stream>& stream) {
  if (stream != older_ && stream != newer_) return;
  stream->leave();
  if (stream == older_) older_ = std::exchange(newer_, nullptr);
  newer_.reset();
  openAfter(pause_);
  pause_ = std::min(kRetryMost, 2 * pause_);
}

void Watch::look() {
  look_ = loop_.runAfter(kLook, [this] { look(); });
  if (retry_ != 0 || !older_) return;
  const Instant now = loop_.now();
  const bool silent = now - older_->heardAt > kSilent;
  if (note_ && silent && !std::exchange(silent_, true))
    note_("discovery is silent: a second watch is opened");
  if (newer_ ? now - newer_->openedAt > kRenew : silent) openBeside();
}

}  // namespace gannetcourse::platform
