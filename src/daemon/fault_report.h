// Runs a command and prints to standard error why it failed.
#pragma once

#include <exception>
#include <iostream>

#include "config/fault.h"

namespace gannetcourse::daemon {

/// Calls `command` and returns 0. If it throws, prints the exception, with one line for each fault, and
/// returns 1.
template <class Command>
int runReportingFaults(const Command& command) {
  try {
    command();
    return 0;
  } catch (const config::InvalidFile& invalid) {
    for (const config::Fault& fault : invalid.faults()) std::cerr << fault.text() << '\n';
  } catch (const std::exception& error) {
    std::cerr << "gannetcourse: " << error.what() << '\n';
  }
  return 1;
}

}  // namespace gannetcourse::daemon
