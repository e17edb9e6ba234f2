// What an engines' client does for the node that runs the core, and what it tells it, whatever the protocol.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::engines {

// Where an engines' client takes its news; router::Core's methods without the time.
class Sink {
 public:
  virtual ~Sink() = default;
  virtual void readEnded(router::CallKey call, std::string state, double kept,
                         std::optional<LoadReport> load) = 0;
  virtual void token(router::CallKey call, std::uint32_t index, std::string text) = 0;
  virtual void callEnded(router::CallKey call, Outcome outcome, double kept, std::optional<LoadReport> load,
                         const std::string& why, recovery::Ending ending) = 0;
  virtual void fenced(router::RequestKey request, int attempt) = 0;
  virtual void goesAway(ServerId engine) = 0;  // it said that it ends in good order
  virtual void probeEnded(ServerId engine, Outcome outcome, Duration elapsed,
                          std::optional<LoadReport> load) = 0;
  virtual void seatAnswered(router::RequestKey request, ServerId engine, bool held) = 0;
};

// The core's commands that concern engines.
class Caller {
 public:
  virtual ~Caller() = default;
  virtual void start(const router::StartRead& read) = 0;
  virtual void start(const router::StartWrite& write) = 0;
  virtual void callOff(router::CallKey call) = 0;
  virtual void reserve(const router::ReserveSeat& seat) = 0;
  virtual void letGo(const router::LetGo& letGo) = 0;
  virtual void fence(const router::FenceAttempt& fence) = 0;
  virtual void probe(ServerId engine) = 0;
  virtual void pause(router::CallKey call, bool paused) = 0;  // a stream whose client takes nothing
  virtual std::size_t smallCalls() const = 0;                 // releases, probes, reservations that are out
};

}  // namespace gannetcourse::engines
