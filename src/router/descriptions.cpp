#include "router/descriptions.h"

namespace gannetcourse::router {

const char* nameOf(FinalStatus verdict) {
  switch (verdict) {
    case FinalStatus::kServed:
      return "served";
    case FinalStatus::kRejected:
      return "refused";
    case FinalStatus::kFailed:
      return "failed";
    case FinalStatus::kDeadlineExceeded:
      return "deadline";
  }
  return "";
}

}  // namespace gannetcourse::router
