// Encodes actions of the decision module as messages to the platform's simulator.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "gannetcourse/policy.h"

namespace gannetcourse::wire {

/// Encodes `action` as the message of the router instance `instanceName`.
nlohmann::json encodeAction(const std::string& instanceName, const Action& action);

}  // namespace gannetcourse::wire
