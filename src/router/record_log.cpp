#include "router/record_log.h"

#include <utility>

namespace gannetcourse::router {
namespace {

constexpr int kNoAttempt = -1;

}  // namespace

void RecordLog::request(const Request& request, RecordKind kind, std::string reason) {
  attempt(request, kind, std::nullopt, kNoAttempt, std::move(reason));
}

void RecordLog::attempt(const Request& request, RecordKind kind, std::optional<EngineId> engine, int attempt,
                        std::string reason) {
  if (isEnabled()) context_.emit(Record{context_.now, request.id, kind, engine, attempt, std::move(reason)});
}

void RecordLog::orphanedState(const std::string& requestId, EngineId engine, int attempt) {
  if (isEnabled())
    context_.emit(Record{context_.now, requestId, RecordKind::kOrphanedStateReleased, engine, attempt, {}});
}

void RecordLog::router(RecordKind kind, std::string reason) {
  context_.emit(Record{context_.now, {}, kind, std::nullopt, kNoAttempt, std::move(reason)});
}

void RecordLog::violation(const Request& request, std::optional<Violation> violation,
                          std::optional<EngineId> engine, int attempt) {
  if (!violation) return;
  context_.emit(
      Record{context_.now, request.id, RecordKind::kInvariantViolation, engine, attempt, nameOf(*violation)});
}

}  // namespace gannetcourse::router
