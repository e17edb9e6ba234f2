// The records of a core: each is a command to the host, which writes it to its log.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/router.h"
#include "router/core_context.h"
#include "router/request.h"

namespace gannetcourse::router {

/// Records of requests are left out where Options::recordsEnabled is false; those of violations and of the
/// router itself never are.
class RecordLog {
 public:
  explicit RecordLog(CoreContext& context) : context_(context) {}

  /// Whether records of requests are wanted; spares the making of their text.
  bool isEnabled() const { return context_.options.recordsEnabled; }

  /// A record of the request as a whole.
  void request(const Request& request, RecordKind kind, std::string reason = {});
  /// A record of one attempt at an engine.
  void attempt(const Request& request, RecordKind kind, std::optional<EngineId> engine, int attempt,
               std::string reason = {});
  /// A release of what an abandoned attempt may have left.
  void orphanedState(const std::string& requestId, EngineId engine, int attempt);
  /// A record that concerns no request.
  void router(RecordKind kind, std::string reason = {});
  /// Does nothing where there is no violation. `attempt`: -1 = none.
  void violation(const Request& request, std::optional<Violation> violation,
                 std::optional<EngineId> engine = {}, int attempt = -1);

 private:
  CoreContext& context_;
};

}  // namespace gannetcourse::router
