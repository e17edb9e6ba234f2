// Replaces system calls with versions that fail on purpose, with errors that Linux documents for them. It is
// linked into a test, or preloaded into a process (LD_PRELOAD). A preloaded process reads its fault plan from
// the file that the environment variable FAULT_PLAN names; another process may change that file at any time.
#pragma once

#include <cstdint>

namespace gannetcourse::soak {

/// How often one system call fails, and with which errno.
struct FaultRule {
  std::int32_t error = 0;       // errno
  std::uint32_t perMille = 0;   // calls that fail, per 1000; 0 = none
  std::uint32_t remaining = 0;  // failures that may still occur
  std::uint32_t failed = 0;     // failures so far
};

/// The system calls that can be made to fail.
enum class FaultyCall : std::uint32_t {
  kAccept,
  kSocket,
  kConnect,
  kWatch,  // epoll_ctl(EPOLL_CTL_ADD)
  kReceive,
  kSend,
  kOpen,    // of files
  kWrite,   // to files
  kSync,    // of files
  kRename,  // of files
  kCount
};
constexpr std::uint32_t kFaultyCalls = static_cast<std::uint32_t>(FaultyCall::kCount);

/// All faults of one process. Contains no pointers, because several processes map the same plan into memory.
struct FaultPlan {
  FaultRule rules[kFaultyCalls];
  std::uint32_t shortPerMille = 0;  // share of recv() and send() calls that transfer only part of their bytes
  std::uint32_t stallMillis = 0;    // delay of a stalled send() call
  std::uint32_t stallPerMille = 0;  // share of send() calls that stall
  std::uint32_t interruptedConnects = 0;  // connects that continue, but return EINTR
  std::int64_t wallClockStepMillis = 0;   // added to CLOCK_REALTIME in whole seconds
};

/// The fault plan of this process: the file that FAULT_PLAN names, or otherwise a plan in its own memory.
FaultPlan& faultPlan();

constexpr std::uint32_t kAlways = 1000;            ///< Value of perMille: every call fails.
constexpr std::uint32_t kUnlimited = 0xffffffffU;  ///< Value of remaining: no limit.

}  // namespace gannetcourse::soak
