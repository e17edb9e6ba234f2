// The answer to a call whose body means nothing: its status is told, 0 where none came.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "http1/client.h"

namespace gannetcourse::platform {

class StatusResponseHandler final : public http1::ResponseHandler {
 public:
  explicit StatusResponseHandler(std::function<void(int status)> then) : onStatus_(std::move(then)) {}
  void onHead(const http1::ResponseHead& head) override { status_ = head.status; }
  void onBody(std::string_view) override {}
  void onEnd(http1::CallResult, const std::string&) override { onStatus_(status_); }

 private:
  std::function<void(int status)> onStatus_;
  int status_ = 0;
};

}  // namespace gannetcourse::platform
