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

  void request(const Request& request, RecordKind kind, std::string reason = {});
  void attempt(const Request& request, RecordKind kind, std::optional<EngineId> engine, int attempt,
               std::string reason = {});
  void orphanedState(const std::string& requestId, EngineId engine, int attempt);
  void router(RecordKind kind, std::string reason = {});
  /// Does nothing where there is no violation. `attempt`: -1 = none.
  void violation(const Request& request, std::optional<Violation> violation,
                 std::optional<EngineId> engine = {}, int attempt = -1);

 private:
  CoreContext& context_;
};

}  // namespace gannetcourse::router
