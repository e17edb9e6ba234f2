// Faults that are put into a node on purpose, to test that the audit reports each one in its own count.
#pragma once

#include <string>

#include "node/node.h"
#include "scenario.h"

namespace gannetcourse::lab {

/// Returns the factory of a core driver with one fault, given by name: late-answer, lost-answer,
/// double-attempt, late-release, send-after-drain, lost-token. For an empty name, returns nullptr: no fault.
/// Throws std::invalid_argument for an unknown name.
node::Node::DriverFactory makeFaultyDriver(const std::string& fault, const Scenario& scenario);

}  // namespace gannetcourse::lab
