// The watch on the platform's discovery: a long poll that is reopened when it ends or receives nothing for
// too long.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "http1/client.h"
#include "net/loop.h"

namespace gannetcourse::platform {

/// Delivers the JSON objects that discovery sends on its watch. If the open stream delivers nothing for
/// 2.3 s, further streams are opened in parallel, one every 2 s, and the one that delivers first is kept. A
/// stream that discovery has not answered yet stays open, so that a slow discovery is heard as well as a fast
/// one. Uses at most five connections at a time.
///
/// Not thread-safe; everything runs on the loop, which must outlive the watch.
class DiscoveryWatch {
 public:
  using ObjectHandler = std::function<void(const std::string& object)>;
  using LogHandler = std::function<void(const std::string& text)>;
  using ProgressHandler = std::function<void()>;

  /// Opens the watch at `endpoint`, resuming from version `resumeIndex` of the list. `seed` seeds the jitter
  /// of the backoff; `log` may be null.
  DiscoveryWatch(net::Loop& loop, const net::Endpoint& endpoint, std::uint64_t resumeIndex,
                 std::uint64_t seed, ObjectHandler onObject, LogHandler log = nullptr,
                 std::shared_ptr<net::MemoryBudget> memory = std::make_shared<net::MemoryBudget>());
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  /// Called whenever isQuestionTaken() or hasToldNothingNew() may have changed.
  void setProgressHandler(ProgressHandler onProgress) { onProgress_ = std::move(onProgress); }
  /// Whether discovery has accepted a stream on which it has delivered nothing yet.
  bool isQuestionTaken() const;
  /// Whether an empty line has told that nothing has changed since the version from which the stream resumed,
  /// or since the last object on it.
  bool hasToldNothingNew() const { return toldNothingNew_; }

  /// Sets the version of the list from which the next stream resumes.
  void setResumeIndex(std::uint64_t index) { resumeIndex_ = index; }
  /// Opens the watch at another endpoint. The old stream is used until the new one delivers.
  void changeEndpoint(const net::Endpoint& endpoint);
  /// Requests a snapshot, for when a received object could not be used: after a delay of at most 0.5 s, opens
  /// a new stream from index 0, which discovery answers with a snapshot.
  void requestSnapshot();

  std::uint64_t watchesOpened() const { return watchesOpened_; }        ///< Streams opened so far.
  std::uint64_t snapshotRequests() const { return snapshotRequests_; }  ///< Calls of requestSnapshot().

 private:
  class Stream;
  using StreamPtr = std::shared_ptr<Stream>;
  void openStream();
  void openStreamAfter(Duration delay);
  void makeRoomForReplacement();
  void closeReplacements();
  bool isReplacementDue(Instant now) const;
  void logTooLarge();
  void checkLiveness();
  void onActivity(Stream& stream);
  void onKeepAlive(Stream& stream);
  void notifyProgress();
  void useReplacement(Stream& stream);
  void onStreamEnded(const StreamPtr& stream);

  net::Loop& loop_;
  net::Endpoint endpoint_;
  std::uint64_t resumeIndex_ = 0;
  std::mt19937_64 random_;
  ObjectHandler onObject_;
  LogHandler log_;
  ProgressHandler onProgress_;
  http1::Client client_;
  StreamPtr active_;
  std::vector<StreamPtr> replacements_;  // oldest first; not answered yet; empty while active_ is null
  bool snapshotRequested_ = false;
  bool replacingActive_ = false;  // active_ is to be replaced even if it still delivers
  bool silenceLogged_ = false;
  bool toldNothingNew_ = false;
  std::uint64_t watchesOpened_ = 0, snapshotRequests_ = 0;
  Duration backoff_;
  net::TimerId reopenTimer_ = 0, livenessTimer_ = 0;
};

}  // namespace gannetcourse::platform
