// One attempt at an engine: its call, its response, and the clocks that end a response which stalls.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "gannetcourse/router.h"
#include "http1/client.h"
#include "net/loop.h"
#include "platform/engine_response.h"

namespace gannetcourse::platform {

/// An attempt reports its tokens and its one result to its owner. Nothing is reported once it is over.
/// Created by make_shared: the HTTP client shares it while the call is open.
class EngineAttempt final : public http1::ResponseHandler,
                            public std::enable_shared_from_this<EngineAttempt> {
 public:
  /// Receives what the attempt reports; outlives it, or detaches it first.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Something came from the engine.
    virtual void onEngineActivity(EngineId engine) = 0;
    /// An event of the stream; `index` counts from 0.
    virtual void onEvent(router::CallKey key, std::uint32_t index, std::string event) = 0;
    /// The attempt is over.
    virtual void onAttemptEnded(router::CallKey key, const AttemptResult& result) = 0;
  };

  EngineAttempt(net::Loop& loop, http1::Client& client, Owner& owner, router::CallKey key, EngineId engine,
                AttemptKind kind);

  void setCall(http1::CallId call) { call_ = call; }
  EngineId engine() const { return engine_; }
  bool isOver() const { return over_; }

  /// Ends it without a report: the core has cancelled it. Closes its connection.
  void cancel();
  /// Ends it without a report and leaves its call alone: its owner and the client end.
  void detach() { over_ = true; }
  /// Stops or resumes reading, for a client that takes nothing. The time that this takes does not count as
  /// the engine's.
  void pause(bool paused);

  /// Whether its stream has stalled, though no error has come: the engine is silent, or an event does not
  /// end.
  bool isStalled(Instant now) const;
  /// Ends a stalled attempt and reports it.
  void endStalled(Instant now);

  void onHead(const http1::ResponseHead& head) override;
  void onBody(std::string_view bytes) override;
  void onEnd(http1::CallResult result, const std::string& reason) override;

 private:
  void recordActivity();
  bool streamHasBegun() const { return response_.isStream() && nextEvent_ > 0; }
  bool eventIsOverdue(Instant now) const;
  void deliverEvent(std::string event);
  void giveUp(Outcome outcome, const std::string& reason);
  void endWithoutBody();
  AttemptResult resultOfEnd(http1::CallResult result, const std::string& reason);
  void finish(const AttemptResult& result);

  net::Loop& loop_;
  http1::Client& client_;
  Owner& owner_;
  const router::CallKey key_;
  const EngineId engine_;
  http1::CallId call_ = 0;
  EngineResponseDecoder response_;
  Instant lastHeardAt_;
  bool over_ = false, paused_ = false;
  std::uint32_t nextEvent_ = 0;
};

}  // namespace gannetcourse::platform
