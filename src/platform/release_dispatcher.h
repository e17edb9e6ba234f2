// Sends releases of the states and reservations that engines hold for a request. Any engine accepts a release
// on behalf of all engines. A release is therefore sent to one engine after the other until an engine
// confirms it; the number of engines called in each step grows. The core decides when a release is started.
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
    std::uint64_t started = 0;    ///< How often startRelease() was called, also for pending releases.
    std::uint64_t confirmed = 0;  ///< Releases that an engine has confirmed.
    std::uint64_t abandoned = 0;  ///< Releases without a confirmation after 30 s, or dropped at kMaxPending.
    std::uint64_t calls = 0;      ///< HTTP calls started.
    Duration slowestConfirmation{0};  ///< Longest time from the start of a release to its confirmation.
  };
  using Log = std::function<void(const std::string& level, const std::string& text)>;

  static constexpr std::size_t kMaxPending = 4096;  ///< At this limit the oldest release is abandoned.
  static constexpr std::size_t kMaxCallsInFlight = 64;

  /// `engines` must outlive the dispatcher; the table's contents may change. `onEngineResponse` is called for
  /// each successful response to a release, with the id of the engine.
  ReleaseDispatcher(net::Loop& loop, http1::Client& client, const EngineTable& engines,
                    std::function<void(EngineId)> onEngineResponse);
  ~ReleaseDispatcher();
  ReleaseDispatcher(const ReleaseDispatcher&) = delete;
  ReleaseDispatcher& operator=(const ReleaseDispatcher&) = delete;

  /// Sets how long an engine keeps an unused state; 0 = no limit. The interval between the steps of a release
  /// is a tenth of this limit, and at most 0.1 s, so that several engines are called before the state
  /// expires.
  void setStateLeaseLimit(Duration limit);
  /// Sets the log for slow and abandoned releases; may be null.
  void setLog(Log log) { log_ = std::move(log); }

  /// Releases all states and reservations of the request `id`. If the request's release is already pending,
  /// the release restarts, and only calls that are sent from now on can confirm it.
  void startRelease(const std::string& id);

  std::size_t pending() const { return pending_.size(); }
  /// Number of pending releases that a shutdown must wait for: those started in the last 3 s. Older
  /// releases are not waited for, because no engine is expected to answer them any more.
  std::size_t releasesBlockingShutdown() const;
  const Counters& counters() const { return counters_; }

 private:
  struct PendingRelease {
    std::string id;
    Instant startedAt, lastCallAt;
    Instant requestedAt;               // last startRelease(); calls sent before may not cover all states
    std::set<EngineId> enginesCalled;  // in the current round, which ends when all were called
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
  // Whether a successful response to the call confirms the release. A call that was sent before the last
  // startRelease() does not, because it may not cover all states.
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
