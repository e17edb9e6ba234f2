#include "engines/call_outcome.h"

namespace gannetcourse::engines {
namespace {

Outcome outcomeOfStatus(grpc::Code code) {
  switch (code) {
    case grpc::Code::kOk:
      return Outcome::kOk;
    case grpc::Code::kResourceExhausted:
    case grpc::Code::kFailedPrecondition:
      return Outcome::kRejected;
    case grpc::Code::kNotFound:
      return Outcome::kStateLost;
    case grpc::Code::kDeadlineExceeded:
      return Outcome::kTimeout;
    default:
      return Outcome::kError;
  }
}

}  // namespace

Outcome outcomeOf(const grpc::CallEnd& end) {
  switch (end.kind) {
    case grpc::CallEnd::Kind::kNotSent:
      return Outcome::kConnectFailed;
    case grpc::CallEnd::Kind::kRefusedStream:
      return Outcome::kRejected;
    case grpc::CallEnd::Kind::kConnectionLost:
    case grpc::CallEnd::Kind::kAbandoned:
    case grpc::CallEnd::Kind::kReset:
      return Outcome::kReset;
    case grpc::CallEnd::Kind::kCancelled:
      return Outcome::kCancelled;
    case grpc::CallEnd::Kind::kMalformed:
      return Outcome::kError;
    case grpc::CallEnd::Kind::kStatus:
      break;
  }
  return outcomeOfStatus(end.status.code);
}

recovery::AttemptEnd attemptEndOf(const grpc::CallEnd& end) {
  switch (end.kind) {
    case grpc::CallEnd::Kind::kAbandoned:
    case grpc::CallEnd::Kind::kMalformed:
    case grpc::CallEnd::Kind::kCancelled:
      return recovery::AttemptEnd::kAbandoned;
    default:
      return recovery::AttemptEnd::kConfirmed;
  }
}

}  // namespace gannetcourse::engines
