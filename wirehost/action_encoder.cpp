#include "action_encoder.h"

#include <utility>
#include <variant>

namespace gannetcourse::wire {
namespace {

using Json = nlohmann::json;

struct ActionEncoder {
  const std::string& who;

  Json operator()(const StartAttempt& a) const {
    return {
        {"attempt",
         {{"who", who}, {"tid", a.id.value}, {"maxWaitS", a.timeout.count()}, {"engine", a.engine.value}}}};
  }
  Json operator()(const Reserve& a) const {
    return {{"bookSeat", {{"who", who}, {"tid", a.id.value}, {"engine", a.engine.value}}}};
  }
  Json operator()(const Release& a) const { return {{"discard", {{"who", who}, {"tid", a.id.value}}}}; }
  Json operator()(const RejectRequest& a) const {
    Json fields = {{"who", who}, {"tid", a.id.value}};
    if (a.retryAfter.count() > 0) fields["notBeforeForS"] = a.retryAfter.count();
    return {{"shed", std::move(fields)}};
  }
  Json operator()(const FailRequest& a) const { return {{"lose", {{"who", who}, {"tid", a.id.value}}}}; }
  Json operator()(const CancelAttempt& a) const {
    return {{"cancel", {{"who", who}, {"tid", a.id.value}, {"sendNo", a.attempt}}}};
  }
  Json operator()(const Probe& a) const { return {{"soundOut", {{"who", who}, {"engine", a.engine.value}}}}; }
  Json operator()(const SubscribeToEngineList&) const {
    return {{"observe", {{"who", who}, {"enable", true}}}};
  }
  Json operator()(const FetchEngineList&) const { return {{"reload", {{"who", who}}}}; }
  Json operator()(const SetTimer& a) const {
    return {
        {"wakeMe", {{"who", who}, {"instantS", a.at.time_since_epoch().count()}, {"cookie", a.timer.value}}}};
  }
  Json operator()(const Log& a) const { return {{"debug", {{"who", who}, {"message", a.text}}}}; }
};

}  // namespace

Json encodeAction(const std::string& who, const Action& action) {
  return std::visit(ActionEncoder{who}, action);
}

}  // namespace gannetcourse::wire
