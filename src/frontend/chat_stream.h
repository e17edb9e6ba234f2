// One Generate call: carries the tokens and the final response of a request to its gRPC client.
#pragma once

#include <memory>
#include <string>

#include "frontend/router_handle.h"
#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/resume.pb.h"
#include "grpc/server.h"

namespace gannetcourse::frontend {

/// Pauses the request while its client has more to take than the settings' stream buffer.
class ChatStream final : public ClientStream {
 public:
  /// `resumePoint` is of makeResumePoint(). The router must outlive the stream.
  ChatStream(RouterHandle& router, std::shared_ptr<grpc::ServerCall> call, router::RequestKey key,
             v1::ResumePoint resumePoint);

  void sendResumePoint(const router::ResumePoint& point) override;
  void sendToken(const router::SendToken& token) override;
  void sendFinalResponse(const router::FinalResponse& response) override;

  /// The client has taken all that was sent.
  void onDrained();

 private:
  RouterHandle& router_;
  std::shared_ptr<grpc::ServerCall> call_;
  router::RequestKey key_;
  v1::ResumePoint resumePoint_;  // becomes each resume token
  v1::GenerateToken message_;    // reused for each token
  std::string messageBytes_;     // reused for each token
  std::string resumeToken_;      // goes out with the next token; empty = none
  bool paused_ = false;
};

/// The status and the trailers of a final response.
grpc::Status toGrpcStatus(const router::FinalResponse& response);
http2::Headers toTrailers(const router::FinalResponse& response);

}  // namespace gannetcourse::frontend
