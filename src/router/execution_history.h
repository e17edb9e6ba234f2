// The ids of requests that may have been executed, remembered beyond the end of the request.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "gannetcourse/policy.h"

namespace gannetcourse::router {

/// Remembers which requests may have been executed although their class is not idempotent, so that a request
/// that comes again under its id, after its client has left or has got an answer, is not executed twice.
class ExecutionHistory {
 public:
  static constexpr std::size_t kMaxExecutions = 8192;  ///< The oldest are forgotten beyond this.
  static constexpr Duration kRetention{60};            ///< The time for which an execution is remembered.

  /// An attempt that began at `startedAt` and may have executed the request has ended.
  void record(Instant now, const std::string& id, Instant startedAt);
  /// Whether a request of this class that may run until `deadline` has no second effect under this id.
  bool mayExecute(const std::string& id, const ClassSettings& classSettings, Instant deadline) const;

 private:
  struct Execution {
    std::string id;
    Instant recordedAt;
  };
  void forgetOldest();

  std::unordered_map<std::string, Instant> firstStarts_;  // by request id
  std::deque<Execution> inOrder_;
};

}  // namespace gannetcourse::router
