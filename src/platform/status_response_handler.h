// Response handler for calls of which only the status is needed.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "http1/client.h"

namespace gannetcourse::platform {

/// Calls `onStatus` with the response's status when the call has ended, or with 0 if no response head was
/// received. Ignores the body.
class StatusResponseHandler final : public http1::ResponseHandler {
 public:
  explicit StatusResponseHandler(std::function<void(int status)> onStatus) : onStatus_(std::move(onStatus)) {}

  void onHead(const http1::ResponseHead& head) override { status_ = head.status; }
  void onBody(std::string_view) override {}
  void onEnd(http1::CallResult, const std::string&) override { onStatus_(status_); }

 private:
  std::function<void(int status)> onStatus_;
  int status_ = 0;
};

}  // namespace gannetcourse::platform
