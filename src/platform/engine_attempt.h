// One attempt at an engine: its HTTP call, the decoder of its response, and the time limit for a stalled
// stream.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "gannetcourse/router.h"
#include "http1/client.h"
#include "net/loop.h"
#include "platform/engine_response.h"

namespace gannetcourse::platform {

/// Reports the attempt's events and its single result to its owner; reports nothing after the attempt has
/// ended. Must be created with make_shared, because the HTTP client keeps a shared pointer to it while
/// the call is open.
class EngineAttempt final : public http1::ResponseHandler,
                            public std::enable_shared_from_this<EngineAttempt> {
 public:
  /// Receives the attempt's reports. Must outlive the attempt or call detach() before its own destruction.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Response bytes were received from the engine.
    virtual void onEngineActivity(EngineId engine) = 0;
    /// A complete event of the stream was received; `index` counts from 0.
    virtual void onEvent(router::CallKey key, std::uint32_t index, std::string event) = 0;
    /// The attempt has ended; called at most once.
    virtual void onAttemptEnded(router::CallKey key, const AttemptResult& result) = 0;
  };

  EngineAttempt(net::Loop& loop, http1::Client& client, Owner& owner, router::CallKey key, EngineId engine,
                AttemptKind kind);

  void setCall(http1::CallId call) { call_ = call; }
  EngineId engine() const { return engine_; }
  /// How long the stream has been without an event; 0 before its first event and while reading is paused.
  Duration timeSinceEvent(Instant now) const;

  /// Cancels the call without a report to the owner and closes its connection.
  void cancel();
  /// Stops all reports to the owner without cancelling the call. For the owner's destructor.
  void detach() { end(); }
  /// Pauses or resumes reading, for flow control when the client reads too slowly. Time during which reading
  /// is paused does not count towards the limit for a stalled stream.
  void pause(bool paused);

  void onHead(const http1::ResponseHead& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd(http1::CallResult result, const std::string& reason) override;
  /// Before a stream's first event the request's deadline is its limit, afterwards the attempt's own.
  bool limitsBodyTime() const override { return response_.isStream(); }

 private:
  void recordActivity();
  void deliverEvent(std::string event);
  void scheduleStallCheck();
  void checkForStall();
  void abandonStalled();
  void abandon(Outcome outcome, const std::string& reason);
  void endAfterStatusBody();
  AttemptResult resultOfEnd(http1::CallResult result, const std::string& reason);
  void finish(const AttemptResult& result);
  void end();

  net::Loop& loop_;
  http1::Client& client_;
  Owner& owner_;
  const router::CallKey key_;
  const EngineId engine_;
  http1::CallId call_ = 0;
  EngineResponseDecoder response_;
  net::MemoryCharge inputCharge_;
  Instant lastBytesAt_;  // when bytes of the response were last received
  Instant lastEventAt_;  // when an event was last received, plus the time for which reading was paused since
  Instant pausedAt_{};
  net::TimerId stallTimer_ = 0;  // 0 before the first event and while reading is paused
  bool ended_ = false, paused_ = false;
  bool lastEventReceived_ = false;  // the [DONE] event; events behind it do not restart the time limit
  std::uint32_t nextEvent_ = 0;
};

}  // namespace gannetcourse::platform
