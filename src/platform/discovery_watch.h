// The watch on the platform's discovery: a long poll that is opened again whenever it ends or falls silent.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "http1/client.h"
#include "net/loop.h"

namespace gannetcourse::platform {

/// Delivers the JSON objects of discovery's watch. The open stream counts as alive only while bytes prove it:
/// where they do not, a second stream is opened beside it, and whichever delivers first is kept. At most two
/// connections at a time.
///
/// Not thread-safe; everything runs on the loop, which must outlive the watch.
class DiscoveryWatch {
 public:
  using ObjectHandler = std::function<void(const std::string& object)>;
  using LogHandler = std::function<void(const std::string& text)>;

  /// Opens the watch at `endpoint`, from version `resumeIndex` of the list. `seed` is for the jitter of
  /// retries; `log` may be null.
  DiscoveryWatch(net::Loop& loop, const net::Endpoint& endpoint, std::uint64_t resumeIndex,
                 std::uint64_t seed, ObjectHandler onObject, LogHandler log = nullptr);
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  /// The version of the list from which the next stream resumes.
  void setResumeIndex(std::uint64_t index) { resumeIndex_ = index; }
  /// Moves the watch. The open stream is used until the new endpoint delivers.
  void changeEndpoint(const net::Endpoint& endpoint);
  /// Something that came could not be used: the next stream, soon, starts with a snapshot.
  void requestSnapshot();

  std::uint64_t watchesOpened() const { return watchesOpened_; }        ///< Streams since the start.
  std::uint64_t snapshotRequests() const { return snapshotRequests_; }  ///< Calls of requestSnapshot().

 private:
  class Stream;
  void openStream();
  void openStreamAfter(Duration delay);
  void checkLiveness();
  void onActivity(Stream& stream);
  void onStreamEnded(const std::shared_ptr<Stream>& stream);

  net::Loop& loop_;
  net::Endpoint endpoint_;
  std::uint64_t resumeIndex_ = 0;
  std::mt19937_64 random_;
  ObjectHandler onObject_;
  LogHandler log_;
  http1::Client client_;
  std::shared_ptr<Stream> active_, replacement_;  // no replacement without an active one
  bool snapshotRequested_ = false;
  bool replacingActive_ = false;  // the active one is to go even though it still delivers
  bool silenceLogged_ = false;
  std::uint64_t watchesOpened_ = 0, snapshotRequests_ = 0;
  Duration backoff_;
  net::TimerId reopenTimer_ = 0, livenessTimer_ = 0;
};

}  // namespace gannetcourse::platform
