// Sends releases of the states and reservations that engines hold for a request. Any engine accepts a release
// on behalf of all, so a release is sent to one engine after the other, and to more engines per step over
// time, until one confirms it. The core decides when a release is sent.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "http1/client.h"
#include "net/loop.h"
#include "platform/engine_table.h"

namespace gannetcourse::platform {

/// Owns the pending releases and their calls. Invariants: at most kMaxPending releases are pending and at
/// most kMaxCallsInFlight calls are open. Unanswered calls are limited in total and for each engine. Not
/// thread-safe: all calls must be made on the loop's thread.
class ReleaseDispatcher {
 public:
  struct Counters {
    std::uint64_t started = 0;    ///< Calls of startRelease(), including repeats for a pending release.
    std::uint64_t confirmed = 0;  ///< Releases that an engine has confirmed.
    std::uint64_t abandoned = 0;  ///< Releases without a confirmation after 30 s, or dropped at kMaxPending.
    std::uint64_t calls = 0;      ///< HTTP calls started.
    Duration slowestConfirmation{0};  ///< From the first request for a release until its confirmation.
  };
  using Log = std::function<void(const std::string& level, const std::string& text)>;

  static constexpr std::size_t kMaxPending = 4096;  ///< At this limit the oldest release is abandoned.
  static constexpr std::size_t kMaxCallsInFlight = 64;

  /// `engines` may change between calls of this class and must outlive it. `onEngineResponse` is called with
  /// each engine that answers successfully.
  ReleaseDispatcher(net::Loop& loop, http1::Client& client, const EngineTable& engines,
                    std::function<void(EngineId)> onEngineResponse);
  ~ReleaseDispatcher();
  ReleaseDispatcher(const ReleaseDispatcher&) = delete;
  ReleaseDispatcher& operator=(const ReleaseDispatcher&) = delete;

  /// Sets how long an engine keeps an unused state; 0 = no limit. The steps of a release are short
  /// enough to call several engines before the state expires.
  void setStateLeaseLimit(Duration limit);
  /// Sets the log for slow and abandoned releases; may be null.
  void setLog(Log log) { log_ = std::move(log); }

  /// Releases all states and reservations of the request `id`. If its release is already pending, it
  /// restarts, and only calls that are sent from now on can confirm it.
  void startRelease(const std::string& id);

  std::size_t pending() const { return pending_.size(); }
  /// Number of pending releases that a shutdown must wait for: those started in the last 3 s. For older ones,
  /// no engine is expected to answer.
  std::size_t releasesBlockingShutdown() const;
  const Counters& counters() const { return counters_; }

 private:
  struct PendingRelease {
    std::string id;
    Instant startedAt, lastCallAt;
    Instant requestedAt;               // last startRelease(); earlier calls may not cover all states
    std::set<EngineId> enginesCalled;  // in the current round
    std::size_t fanOut = 1;            // number of engines that the next step calls
    bool done = false;
  };
  struct Call {
    std::shared_ptr<PendingRelease> release;
    EngineId engine;
    Instant sentAt;
    http1::CallId callId = 0;
    net::TimerId timeoutTimer = 0;
  };
  using CallNumber = std::uint64_t;
  // Open calls to one engine that were sent after its last answer.
  struct UnansweredCalls {
    std::size_t count = 0;
    Instant since;  // when the oldest of them was sent
  };
  enum class ReleaseResult { kConfirmed, kAbandoned };

  std::shared_ptr<PendingRelease> addPending(const std::string& id);
  void advanceAll();
  void advance(const std::shared_ptr<PendingRelease>& release);
  void sendCall(const std::shared_ptr<PendingRelease>& release, EngineId engine);
  void onCallAnswered(CallNumber number, int status);
  void sendPendingTo(EngineId engine);
  void finish(const std::shared_ptr<PendingRelease>& release, ReleaseResult result);
  void logFinished(const PendingRelease& release, ReleaseResult result, Duration elapsed) const;
  std::optional<EngineId> selectEngine(const PendingRelease& release) const;
  bool allEnginesCalled(const PendingRelease& release) const;
  // Whether a successful response to the call confirms its release: the call was not sent before
  // the last startRelease().
  static bool confirmsRelease(const Call& call) { return call.sentAt >= call.release->requestedAt; }
  std::set<EngineId> enginesWithOpenCall(const PendingRelease& release) const;
  std::set<const PendingRelease*> releasesWithOpenCallTo(EngineId engine) const;
  bool canSendCall() const;
  std::size_t maxUnansweredPerEngine() const;
  std::map<EngineId, UnansweredCalls> unansweredByEngine() const;
  void scheduleStep();

  net::Loop& loop_;
  http1::Client& client_;
  const EngineTable& engines_;
  std::function<void(EngineId)> onEngineResponse_;
  Log log_;
  Duration stepInterval_;
  net::TimerId stepTimer_ = 0;
  std::list<std::shared_ptr<PendingRelease>> pending_;                     // oldest first
  std::unordered_map<std::string, std::shared_ptr<PendingRelease>> byId_;  // the same releases, by request id
  std::map<CallNumber, Call> calls_;                                       // the open calls
  std::map<EngineId, Instant> lastAnswerAt_;  // cleared when no release is pending
  CallNumber lastCallNumber_ = 0;
  Counters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false after destruction; for late callbacks
};

}  // namespace gannetcourse::platform
