// Runs a command and reports on standard error why it could not go on.
#pragma once

#include <exception>
#include <iostream>

#include "config/fault.h"

namespace gannetcourse::daemon {

/// Returns 0 after `command()`, or 1 after the exception that it threw is printed, one line for each fault.
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
