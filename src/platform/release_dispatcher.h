// Releases of the states and reservations that engines hold for a request. Any engine accepts a release on
// behalf of all, so each is sent to one engine after the other, and to more at a time the longer it takes,
// until one confirms it. When a release is due is decided elsewhere.
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

/// Owns the pending releases and their calls. Invariants: at most kMaxPending are pending and at most
/// kMaxCallsInFlight calls are open, of which only a part may be to engines that do not answer, each with its
/// share. Not thread-safe; everything runs on the loop.
class ReleaseDispatcher {
 public:
  struct Counters {
    std::uint64_t started = 0;        ///< Releases requested, repeats included.
    std::uint64_t confirmed = 0;      ///< An engine has confirmed them.
    std::uint64_t abandoned = 0;      ///< Given up: too old, or too many pending.
    std::uint64_t calls = 0;          ///< Calls sent.
    Duration slowestConfirmation{0};  ///< From the first request for a release until its confirmation.
  };
  using Log = std::function<void(const std::string& level, const std::string& text)>;

  static constexpr std::size_t kMaxPending = 4096;  ///< Beyond it the oldest is abandoned.
  static constexpr std::size_t kMaxCallsInFlight = 64;

  /// `engines` may change between calls of this class. `onEngineResponse` gets each engine that answers.
  ReleaseDispatcher(net::Loop& loop, http1::Client& client, const EngineTable& engines,
                    std::function<void(EngineId)> onEngineResponse);
  ~ReleaseDispatcher();
  ReleaseDispatcher(const ReleaseDispatcher&) = delete;
  ReleaseDispatcher& operator=(const ReleaseDispatcher&) = delete;

  /// How long a state may stay unused: more engines are called well before that. 0 = no limit.
  void setStateLeaseLimit(Duration limit);
  /// Where slow and abandoned releases are logged; may be null.
  void setLog(Log log) { log_ = std::move(log); }

  /// Releases all states and reservations of the request `id`. One that is still pending starts again: only a
  /// call that is sent from now on confirms it.
  void startRelease(const std::string& id);

  std::size_t pending() const { return pending_.size(); }
  /// Pending releases that the shutdown has to wait for: the young ones. For older ones no engine answers.
  std::size_t awaitedByShutdown() const;
  const Counters& counters() const { return counters_; }

 private:
  struct PendingRelease {
    std::string id;
    Instant startedAt, lastCallAt;
    Instant requestedAt;               // the newest startRelease(): an earlier call may have come too early
    std::set<EngineId> enginesCalled;  // in this round
    std::size_t fanOut = 1;            // engines that the next step calls
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
  // Open calls to one engine since its last answer.
  struct UnansweredCalls {
    std::size_t count = 0;
    Instant since;  // when the first of them was sent
  };
  enum class Ending { kConfirmed, kAbandoned };

  std::shared_ptr<PendingRelease> addPending(const std::string& id);
  void advanceAll();
  void advance(const std::shared_ptr<PendingRelease>& release);
  void sendCall(const std::shared_ptr<PendingRelease>& release, EngineId engine);
  void onCallAnswered(CallNumber number, int status);
  void sendPendingTo(EngineId engine);
  void finish(const std::shared_ptr<PendingRelease>& release, Ending ending);
  void logFinished(const PendingRelease& release, Ending ending, Duration elapsed) const;
  std::optional<EngineId> selectEngine(const PendingRelease& release) const;
  bool allEnginesCalled(const PendingRelease& release) const;
  // Whether a success of the call confirms its release: the call is not from before a repeat.
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
  std::list<std::shared_ptr<PendingRelease>> pending_;                     // the oldest first
  std::unordered_map<std::string, std::shared_ptr<PendingRelease>> byId_;  // the same releases
  std::map<CallNumber, Call> calls_;                                       // that are open
  std::map<EngineId, Instant> lastAnswerAt_;                               // while releases are pending
  CallNumber lastCall_ = 0;
  Counters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for callbacks that may outlive this
};

}  // namespace gannetcourse::platform
