#include "router/policy_runner.h"

#include <utility>
#include <vector>

namespace gannetcourse::router {

void PolicyRunner::feed(Event event) {
  events_.push_back(std::move(event));
  if (isRunning_) return;
  isRunning_ = true;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    std::vector<Action> actions;
    policy_.handle(context_.now, next, actions);
    for (const Action& action : actions) execute_(action);
  }
  isRunning_ = false;
}

}  // namespace gannetcourse::router
