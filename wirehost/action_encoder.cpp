#include "action_encoder.h"

#include <utility>
#include <variant>

namespace gannetcourse::wire {
namespace {

using Json = nlohmann::json;

struct ActionEncoder {
  const std::string& instanceName;

  Json operator()(const StartAttempt& a) const {
    return {{"attempt",
             {{"who", instanceName},
              {"tid", a.id.value},
              {"maxWaitS", a.timeout.count()},
              {"engine", a.engine.value}}}};
  }
  Json operator()(const Reserve& a) const {
    return {{"bookSeat", {{"who", instanceName}, {"tid", a.id.value}, {"engine", a.engine.value}}}};
  }
  Json operator()(const Release& a) const {
    return {{"discard", {{"who", instanceName}, {"tid", a.id.value}}}};
  }
  Json operator()(const RejectRequest& a) const {
    Json fields = {{"who", instanceName}, {"tid", a.id.value}};
    if (a.retryAfter.count() > 0) fields["notBeforeForS"] = a.retryAfter.count();
    return {{"shed", std::move(fields)}};
  }
  Json operator()(const FailRequest& a) const {
    return {{"lose", {{"who", instanceName}, {"tid", a.id.value}}}};
  }
  Json operator()(const CancelAttempt& a) const {
    return {{"cancel", {{"who", instanceName}, {"tid", a.id.value}, {"sendNo", a.attempt}}}};
  }
  Json operator()(const Probe& a) const {
    return {{"soundOut", {{"who", instanceName}, {"engine", a.engine.value}}}};
  }
  Json operator()(const SubscribeToEngineList&) const {
    return {{"observe", {{"who", instanceName}, {"enable", true}}}};
  }
  Json operator()(const FetchEngineList&) const { return {{"reload", {{"who", instanceName}}}}; }
  Json operator()(const SetTimer& a) const {
    return {
        {"wakeMe",
         {{"who", instanceName}, {"instantS", a.at.time_since_epoch().count()}, {"cookie", a.timer.value}}}};
  }
  Json operator()(const Log& a) const { return {{"debug", {{"who", instanceName}, {"message", a.text}}}}; }
};

}  // namespace

Json encodeAction(const std::string& instanceName, const Action& action) {
  return std::visit(ActionEncoder{instanceName}, action);
}

}  // namespace gannetcourse::wire
