// Releases of what engines hold for a request. Any engine takes one for all, so each is sent to one engine
// after the other, and to more at a time the longer it takes, until one has answered. Decides nothing about
// when one is due.
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

class ReleaseDispatcher {
 public:
  struct Counters {
    std::uint64_t started = 0, confirmed = 0, abandoned = 0;
    std::uint64_t calls = 0;          // calls that they took
    Duration slowestConfirmation{0};  // from the decision until an engine had taken it
  };
  using Log = std::function<void(const std::string& level, const std::string& text)>;
  static constexpr std::size_t kMaxPending = 4096;      // past it the oldest is given up
  static constexpr std::size_t kMaxCallsInFlight = 64;  // calls that may be out at once

  // The table's engines may change between calls; `heardFrom` is told of each engine that answers.
  ReleaseDispatcher(net::Loop& loop, http1::Client& client, const EngineTable& engines,
                    std::function<void(EngineId)> heardFrom);
  ~ReleaseDispatcher();
  ReleaseDispatcher(const ReleaseDispatcher&) = delete;
  ReleaseDispatcher& operator=(const ReleaseDispatcher&) = delete;

  // For how long a state may stay held: other engines are asked well before that. 0 = no limit.
  void setStateLeaseLimit(Duration limit);
  void setLog(Log log) { log_ = std::move(log); }

  // One that is still pending goes on, until a call that was sent after this one is answered.
  void startRelease(const std::string& id);

  std::size_t pending() const { return pending_.size(); }
  // Those that the end of the process has to wait for: where no engine answers for seconds it does not.
  std::size_t awaitedByShutdown() const;
  const Counters& counters() const { return counters_; }

 private:
  struct PendingRelease {
    std::string id;
    Instant startedAt, lastCallAt;
    Instant requestedAt;  // the newest begin(): a call that was sent before it may have come too early
    std::set<EngineId> enginesCalled;  // in this round
    std::size_t fanOut = 1;            // engines that the next step asks
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
  // Calls to one engine since it last answered one.
  struct UnansweredCalls {
    std::size_t count = 0;
    Instant since;  // the first of them
  };

  std::shared_ptr<PendingRelease> addPending(const std::string& id);
  void advanceAll();
  void advance(const std::shared_ptr<PendingRelease>& release);
  void sendCall(const std::shared_ptr<PendingRelease>& release, EngineId engine);
  void onCallAnswered(CallNumber id, int status);
  void sendPendingTo(EngineId engine);
  void finish(const std::shared_ptr<PendingRelease>& release, bool taken);
  std::optional<EngineId> selectEngine(const PendingRelease& release) const;
  bool allEnginesCalled(const PendingRelease& release) const;
  // Whether the call would end its release: it is not from before a repeat.
  static bool confirmsRelease(const Call& ask) { return ask.sentAt >= ask.release->requestedAt; }
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
  std::unordered_map<std::string, std::shared_ptr<PendingRelease>> byId_;  // the same
  std::map<CallNumber, Call> calls_;                                       // that are out
  std::map<EngineId, Instant>
      lastAnswerAt_;  // when each engine last answered one, while releases are pending
  CallNumber lastCall_ = 0;
  Counters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::platform
