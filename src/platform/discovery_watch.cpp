#include "platform/discovery_watch.h"

#include <algorithm>
#include <utility>

#include "platform/json_stream_splitter.h"
#include "platform/request_head.h"

namespace gannetcourse::platform {
namespace {

// If the active stream is silent for kSilenceLimit, a replacement is opened, and another one every
// kReplacementInterval until a stream delivers. kSilenceLimit is longer than the 2 s between the empty lines
// that discovery sends as a keep-alive; the rest of the 6 s within which the node must receive a change is
// left to discovery for its answer.
const Duration kSilenceLimit{2.3}, kReplacementInterval{2}, kLivenessInterval{0.1};

// Replacements that may wait for an answer at a time. The oldest one is kept for kMaxAnswerTime, because
// discovery may be slow; the newer ones take turns, because discovery may have lost the oldest one.
constexpr std::size_t kMaxReplacements = 4;
const Duration kMaxAnswerTime{30};
// No further replacement is opened while one that was opened less than this ago is receiving a list.
const Duration kMaxListTime{6};

// An object that is not complete counts as being received if some of it has arrived within this time.
const Duration kMaxPauseWithinObject{1};

// Backoff before a stream that ended or was rejected is reopened. It doubles up to kMaxBackoff, and is set to
// kResetBackoff once a stream delivers more than kStableStreamAge after it was opened.
const Duration kInitialBackoff{0.1}, kResetBackoff{0.2}, kMaxBackoff{0.5}, kStableStreamAge{2};

constexpr std::uint64_t kObjectMemoryDivisor = 8;  // an eighth of the memory may hold an object's text

std::size_t maxObjectBytes(const net::MemoryBudget& memory) {
  const std::uint64_t affordable = memory.limits().total / kObjectMemoryDivisor;
  return std::min<std::uint64_t>(JsonStreamSplitter::kMaxObjectBytes, affordable);
}

http1::ClientOptions watchOptions(std::shared_ptr<net::MemoryBudget> memory) {
  http1::ClientOptions options;
  options.limits.maxBodyBytes = 0;  // no limit: the response is an endless stream
  options.maxConnections = 1 + kMaxReplacements;
  options.connectTimeout = Duration(0.5);
  options.memory = std::move(memory);
  return options;
}

}  // namespace

/// One streamed response of discovery. close() sets `watch_` to null; data received after that is ignored.
class DiscoveryWatch::Stream final : public http1::ResponseHandler,
                                     public std::enable_shared_from_this<DiscoveryWatch::Stream> {
 public:
  explicit Stream(DiscoveryWatch& watch)
      : watch_(&watch),
        openedAt_(watch.loop_.now()),
        lastActivityAt_(openedAt_),
        splitter_(maxObjectBytes(*watch.client_.memory())),
        inputCharge_(watch.client_.memory(), net::MemoryUse::kEngineList) {}

  void setCall(http1::CallId call) { call_ = call; }
  void recordActivity(Instant now) {
    lastActivityAt_ = now;
    answered_ = true;
  }
  Instant openedAt() const { return openedAt_; }
  Instant lastActivityAt() const { return lastActivityAt_; }
  bool isTakenAndUnanswered() const { return taken_ && !answered_; }
  bool isReceivingObject(Instant now) const {
    return splitter_.hasPartialObject() && now - lastBytesAt_ <= kMaxPauseWithinObject;
  }

  void close() {
    if (watch_ != nullptr) std::exchange(watch_, nullptr)->client_.cancel(call_);
  }

  void onRequestSent() override {
    taken_ = true;
    if (watch_ != nullptr) watch_->notifyProgress();
  }

  void onHead(const http1::ResponseHead& head) override { statusOk_ = head.status == 200; }

  void onBody(std::string_view bytes) override {
    const std::shared_ptr<Stream> self = shared_from_this();  // the watch may release this stream
    if (watch_ == nullptr || !statusOk_) return;
    lastBytesAt_ = watch_->loop_.now();
    const bool alive = splitter_.feed(bytes, [this](const std::string& object) { onObject(object); });
    inputCharge_.set(splitter_.heldBytes());
    if (watch_ != nullptr &&
        splitter_.droppedObjects() != std::exchange(dropsLogged_, splitter_.droppedObjects()))
      watch_->logTooLarge();
    if (alive && watch_ != nullptr) watch_->onKeepAlive(*this);
  }

  void onEnd(http1::CallResult, const std::string&) override {
    const std::shared_ptr<Stream> self = shared_from_this();
    if (watch_ != nullptr) watch_->onStreamEnded(self);
  }

  /// The watch opens a replacement if this stream delivers nothing for kSilenceLimit. A large list may take
  /// longer, and must not be lost for that.
  bool limitsBodyTime() const override { return statusOk_; }

 private:
  void onObject(const std::string& object) {
    if (watch_ == nullptr) return;
    watch_->onActivity(*this);
    watch_->onObject_(object);
  }

  DiscoveryWatch* watch_;
  http1::CallId call_ = 0;
  Instant openedAt_;
  Instant lastActivityAt_;
  Instant lastBytesAt_{};
  JsonStreamSplitter splitter_;
  net::MemoryCharge inputCharge_;
  std::size_t dropsLogged_ = 0;
  bool statusOk_ = false;
  bool taken_ = false;     // the request has been sent on an established connection
  bool answered_ = false;  // an object or an empty line was received
};

DiscoveryWatch::DiscoveryWatch(net::Loop& loop, const net::Endpoint& endpoint, std::uint64_t resumeIndex,
                               std::uint64_t seed, ObjectHandler onObject, LogHandler log,
                               std::shared_ptr<net::MemoryBudget> memory)
    : loop_(loop),
      endpoint_(endpoint),
      resumeIndex_(resumeIndex),
      random_(seed),
      onObject_(std::move(onObject)),
      log_(std::move(log)),
      client_(loop, watchOptions(std::move(memory))),
      backoff_(kInitialBackoff) {
  openStream();
  livenessTimer_ = loop_.runAfter(kLivenessInterval, [this] { checkLiveness(); });
}

DiscoveryWatch::~DiscoveryWatch() {
  if (active_) active_->close();
  closeReplacements();
  loop_.cancelTimer(reopenTimer_);
  loop_.cancelTimer(livenessTimer_);
}

void DiscoveryWatch::changeEndpoint(const net::Endpoint& endpoint) {
  endpoint_ = endpoint;
  backoff_ = kResetBackoff;
  replacingActive_ = true;
  closeReplacements();
  openStream();
}

void DiscoveryWatch::requestSnapshot() {
  ++snapshotRequests_;
  snapshotRequested_ = true;
  replacingActive_ = true;
  openStreamAfter(kMaxBackoff);
}

void DiscoveryWatch::logTooLarge() {
  if (log_) log_("discovery sent a list that is too large for the node's memory; it is not used");
}

void DiscoveryWatch::openStreamAfter(Duration delay) {
  if (reopenTimer_ != 0) return;
  const Duration withJitter = delay * std::uniform_real_distribution<double>(0.5, 1)(random_);
  reopenTimer_ = loop_.runAfter(withJitter, [this] {
    reopenTimer_ = 0;
    openStream();
  });
}

// Opens a stream. The new stream becomes the active one if there is no active stream, otherwise a
// replacement.
void DiscoveryWatch::openStream() {
  loop_.cancelTimer(std::exchange(reopenTimer_, 0));
  if (snapshotRequested_) closeReplacements();  // they would answer with changes only
  makeRoomForReplacement();
  ++watchesOpened_;
  const auto stream = std::make_shared<Stream>(*this);
  if (active_) {
    replacements_.push_back(stream);
  } else {
    active_ = stream;
    replacingActive_ = false;
  }
  const std::uint64_t from = std::exchange(snapshotRequested_, false) ? 0 : resumeIndex_;
  std::string head = requestHead("GET", "/api/targets?watch=1&from=" + std::to_string(from), endpoint_);
  stream->setCall(client_.start(
      endpoint_, [head = std::move(head)] { return head; }, nullptr, stream));
}

// If there are as many replacements as allowed, closes the oldest one that may be given up.
void DiscoveryWatch::makeRoomForReplacement() {
  if (replacements_.size() < kMaxReplacements) return;
  const bool oldestTimedOut = loop_.now() - replacements_.front()->openedAt() > kMaxAnswerTime;
  const auto givenUp = replacements_.begin() + (oldestTimedOut ? 0 : 1);
  (*givenUp)->close();
  replacements_.erase(givenUp);
}

void DiscoveryWatch::closeReplacements() {
  for (const StreamPtr& replacement : replacements_) replacement->close();
  replacements_.clear();
}

// Keeps the stream that has delivered data and closes the others. Exception: while the active stream is being
// replaced on purpose (replacingActive_), data on it does not close the replacements.
void DiscoveryWatch::onActivity(Stream& stream) {
  stream.recordActivity(loop_.now());
  if (log_ && silenceLogged_) {
    silenceLogged_ = false;
    log_("discovery speaks again");
  }
  if (stream.lastActivityAt() - stream.openedAt() > kStableStreamAge) backoff_ = kResetBackoff;
  if (active_.get() != &stream) {
    useReplacement(stream);
  } else if (!replacingActive_) {
    closeReplacements();
  }
}

void DiscoveryWatch::onKeepAlive(Stream& stream) {
  onActivity(stream);
  toldNothingNew_ = !replacingActive_;  // otherwise something may have changed that was not read
  notifyProgress();
}

bool DiscoveryWatch::isQuestionTaken() const {
  return (active_ && active_->isTakenAndUnanswered()) ||
         std::any_of(replacements_.begin(), replacements_.end(),
                     [](const StreamPtr& stream) { return stream->isTakenAndUnanswered(); });
}

void DiscoveryWatch::notifyProgress() {
  if (onProgress_) onProgress_();
}

// Makes the replacement the active stream and closes all others.
void DiscoveryWatch::useReplacement(Stream& stream) {
  const auto found = std::find_if(replacements_.begin(), replacements_.end(),
                                  [&](const StreamPtr& replacement) { return replacement.get() == &stream; });
  const StreamPtr used = *found;
  replacements_.erase(found);
  closeReplacements();
  active_->close();
  active_ = used;
  replacingActive_ = false;
}

void DiscoveryWatch::onStreamEnded(const StreamPtr& stream) {
  stream->close();
  if (stream == active_) {
    active_ = replacements_.empty() ? nullptr : replacements_.front();
    if (active_) replacements_.erase(replacements_.begin());
    replacingActive_ = false;
  } else {
    std::erase(replacements_, stream);
  }
  openStreamAfter(backoff_);
  backoff_ = std::min(kMaxBackoff, 2 * backoff_);
  notifyProgress();
}

void DiscoveryWatch::checkLiveness() {
  livenessTimer_ = loop_.runAfter(kLivenessInterval, [this] { checkLiveness(); });
  if (reopenTimer_ != 0 || !active_) return;
  const Instant now = loop_.now();
  const bool silent = now - active_->lastActivityAt() > kSilenceLimit;
  if (silent && log_ && !silenceLogged_) {
    silenceLogged_ = true;
    log_("discovery is silent: a second watch is opened");
  }
  if (replacements_.empty() ? silent : isReplacementDue(now)) openStream();
}

// Whether the replacements have waited for so long that another one has to be opened beside them.
bool DiscoveryWatch::isReplacementDue(Instant now) const {
  const bool receivesList =
      std::any_of(replacements_.begin(), replacements_.end(), [now](const StreamPtr& replacement) {
        return now - replacement->openedAt() < kMaxListTime && replacement->isReceivingObject(now);
      });
  return !receivesList && now - replacements_.back()->openedAt() > kReplacementInterval;
}

}  // namespace gannetcourse::platform
