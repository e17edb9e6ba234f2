// The response to a call of which only the status counts.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "http1/client.h"

namespace gannetcourse::platform {

/// Reports the status of a response once the call has ended; 0 where no status came. The body is dropped.
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
