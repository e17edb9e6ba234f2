// Faults that are put into a node on purpose, to prove that the audit catches each by its own count.
#pragma once

#include <string>

#include "node/node.h"
#include "scenario.h"

namespace gannetcourse::lab {

/// A driver with one fault, by name: late-answer, lost-answer, double-attempt, late-release,
/// send-after-drain, lost-token. Empty for no fault. Throws std::invalid_argument for an unknown name.
node::Node::DriverFactory makeFaultyDriver(const std::string& fault, const Scenario& scenario);

}  // namespace gannetcourse::lab
