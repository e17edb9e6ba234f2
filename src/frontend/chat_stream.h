// One Generate call: carries the tokens and the final response of a request to its gRPC client.
#pragma once

#include <memory>
#include <string>

#include "frontend/router_handle.h"
#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/resume.pb.h"
#include "grpc/server.h"

namespace gannetcourse::frontend {

/// Pauses the request when the pending output reaches NodeSettings::streamBufferBytes, and resumes it when no
/// output is pending.
class ChatStream final : public ClientStream {
 public:
  /// `resumePoint` is made by makeResumePoint(). The router must outlive the stream.
  ChatStream(RouterHandle& router, std::shared_ptr<grpc::ServerCall> call, router::RequestKey key,
             v1::ResumePoint resumePoint);

  void sendResumePoint(const router::ResumePoint& point) override;
  void sendToken(const router::SendToken& token) override;
  void sendFinalResponse(const router::FinalResponse& response) override;

  /// Resumes a paused request. Must be called when no output is pending any more.
  void onDrained();

 private:
  RouterHandle& router_;
  std::shared_ptr<grpc::ServerCall> call_;
  router::RequestKey key_;
  v1::ResumePoint resumePoint_;  // the content of the next resume token
  v1::GenerateToken message_;    // reused for each token
  std::string messageBytes_;     // reused for each token
  std::string resumeToken_;      // sent with the next token; empty = none
  bool paused_ = false;
};

/// The gRPC status and trailers for a final response.
grpc::Status toGrpcStatus(const router::FinalResponse& response);
http2::Headers toTrailers(const router::FinalResponse& response);

}  // namespace gannetcourse::frontend
