// Makes system calls fail as Linux documents that they may. Linked into a test, or preloaded into a process
// (LD_PRELOAD) whose plan is then a file that another process writes: FAULT_PLAN names it.
#pragma once

#include <cstdint>

namespace gannetcourse::soak {

/// One kind of call: which errno it fails with, how often, and how often at most.
struct FaultRule {
  std::int32_t error = 0;       // errno
  std::uint32_t perMille = 0;   // share of the calls that fail; 0 = none
  std::uint32_t remaining = 0;  // failures that are left
  std::uint32_t failed = 0;     // failures so far
};

/// The calls that can be made to fail.
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

/// Plain memory without pointers: it is shared between processes.
struct FaultPlan {
  FaultRule rules[kFaultyCalls];
  std::uint32_t shortPerMille = 0;  // reads and writes of sockets that handle a part of their bytes only
  std::uint32_t stallMillis = 0;    // the process stands still for this long before a send ...
  std::uint32_t stallPerMille = 0;  // ... in this share of them
  std::uint32_t interruptedConnects = 0;  // connects that go on, but say EINTR
  std::int64_t wallClockStepMillis = 0;   // added to the wall clock
};

/// The plan of this process: the file that FAULT_PLAN names, else its own memory.
FaultPlan& faultPlan();

constexpr std::uint32_t kAlways = 1000;            ///< perMille of a call that always fails.
constexpr std::uint32_t kUnlimited = 0xffffffffU;  ///< remaining, without a limit.

}  // namespace gannetcourse::soak
