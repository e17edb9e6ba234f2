#include "http1/life.h"

namespace gannetcourse::http1 {

ServerStep ServerLife::to(ServerPhase phase, ServerStep step) {
  phase_ = phase;
  return step;
}

ServerStep ServerLife::on(ServerHappening what) {
  using H = ServerHappening;
  using P = ServerPhase;
  using S = ServerStep;
  if (phase_ == P::kClosed) return S::kNone;
  if (what == H::kPeerEnded) return to(P::kClosed, answering() ? S::kGone : S::kClose);
  switch (phase_) {
    case P::kFresh:
    case P::kIdle:
    case P::kReceiving:
      if (what == H::kBytes) return to(P::kReceiving, S::kNone);
      if (what == H::kRequestWhole) return to(P::kAnswering, S::kServe);
      if (what == H::kUnreadable) return to(P::kFlushing, S::kTurnAway);
      if (what == H::kOverdue && phase_ == P::kReceiving) return to(P::kFlushing, S::kTurnAway);
      if (what == H::kOverdue) return to(P::kFlushing, S::kFlush);
      // Who has only just come asks first: it gets an answer, not a close that its request may cross.
      if (what == H::kDrain && phase_ == P::kIdle) return to(P::kFlushing, S::kFlush);
      return S::kNone;
    case P::kAnswering:
      if (what == H::kAnswered) return to(P::kIdle, S::kNone);
      if (what == H::kAnsweredLast) return to(P::kFlushing, S::kNone);
      if (what == H::kOverdue) return to(P::kClosed, S::kGone);
      return S::kNone;
    case P::kFlushing:
      if (what == H::kFlushed) return to(P::kLingering, S::kShut);
      [[fallthrough]];
    case P::kLingering:
      if (what == H::kOverdue) return to(P::kClosed, S::kClose);
      return S::kNone;
    case P::kClosed:
      break;
  }
  return S::kNone;
}

bool ClientLife::on(ClientHappening what) {
  using H = ClientHappening;
  using P = ClientPhase;
  switch (what) {
    case H::kUp:
      if (phase_ == P::kConnecting) phase_ = P::kCalling;
      break;
    case H::kCall:
      if (phase_ == P::kIdle) phase_ = P::kCalling;
      break;
    case H::kAnswerKept:
      if (phase_ == P::kCalling) phase_ = P::kResting;
      break;
    case H::kRested:
      if (phase_ == P::kResting) phase_ = P::kIdle;
      break;
    case H::kUnaskedBytes:
      if (phase_ == P::kResting || phase_ == P::kIdle) phase_ = P::kClosed;
      break;
    case H::kAnswerLast:
    case H::kGivenUp:
    case H::kPeerEnded:
      phase_ = P::kClosed;
      break;
  }
  return phase_ != P::kClosed;
}

}  // namespace gannetcourse::http1
