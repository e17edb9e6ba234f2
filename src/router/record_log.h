// Emits the log records of a core. Each record is a command to the host, which writes it to its log.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/router.h"
#include "router/core_context.h"
#include "router/request.h"

namespace gannetcourse::router {

/// Owns no records. Records of requests are emitted only if Options::recordsEnabled is set; records of
/// violations and of the router itself always are.
class RecordLog {
 public:
  explicit RecordLog(CoreContext& context) : context_(context) {}

  /// Whether records of requests are emitted; lets callers avoid building texts that are not needed.
  bool isEnabled() const { return context_.options.recordsEnabled; }

  /// A record of the request as a whole.
  void request(const Request& request, RecordKind kind, std::string reason = {});
  /// A record of one attempt at an engine.
  void attempt(const Request& request, RecordKind kind, std::optional<EngineId> engine, int attempt,
               std::string reason = {});
  /// A record of the release of a state that an abandoned attempt may have left.
  void orphanedState(const std::string& requestId, EngineId engine, int attempt);
  /// A record of the router itself, without a request.
  void router(RecordKind kind, std::string reason = {});
  /// A record of the violation, if there is one. `attempt`: -1 = the violation is not about an attempt.
  void violation(const Request& request, std::optional<Violation> violation,
                 std::optional<EngineId> engine = {}, int attempt = -1);

 private:
  CoreContext& context_;
};

}  // namespace gannetcourse::router
