// Encodes actions of the decision module as the bench's messages.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "gannetcourse/policy.h"

namespace gannetcourse::wire {

/// The message for an action of the instance `who`.
nlohmann::json encodeAction(const std::string& who, const Action& action);

}  // namespace gannetcourse::wire
