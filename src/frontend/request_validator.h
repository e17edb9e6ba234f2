// Checks Generate requests against the node's settings and converts them to router::NewRequest.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.h"
#include "gannetcourse/router.h"
#include "gannetcourse/v1/chat.pb.h"
#include "grpc/protocol.h"
#include "resume/seal.h"

namespace gannetcourse::frontend {

/// Hashes the name of a session or prefix to its key; 0 for the empty name. All nodes compute the same key.
std::uint64_t hashKey(const std::string& name);

/// Returns an INVALID_ARGUMENT status. The message must begin with the name of the invalid field.
grpc::Status invalidArgument(std::string message);

/// Checks one message. The constructor's arguments must outlive the validator, which keeps references to
/// them.
class RequestValidator {
 public:
  RequestValidator(const config::NodeSettings& settings, const resume::Sealer& sealer,
                   const v1::GenerateRequest& message)
      : settings_(settings), sealer_(sealer), message_(message) {}

  /// Fills in `request`, except its key. Returns the error status for the client if the message is invalid.
  std::optional<grpc::Status> validate(Duration timeUntilDeadline, router::NewRequest& request) const;

 private:
  std::optional<grpc::Status> checkTenant(router::NewRequest& request) const;
  std::optional<grpc::Status> checkSizes(const config::ClassLimits& limits) const;
  std::optional<grpc::Status> checkResume(router::NewRequest& request) const;
  std::optional<Duration> expectedOutputDuration(std::size_t classIndex) const;
  std::uint32_t promptTokens() const;
  std::shared_ptr<const router::RequestPayload> makePayload(const config::ClassLimits& limits) const;

  const config::NodeSettings& settings_;
  const resume::Sealer& sealer_;
  const v1::GenerateRequest& message_;
};

}  // namespace gannetcourse::frontend
