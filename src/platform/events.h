// An engine's stream of events, cut out of its chunks. Bytes in, whole events out; no sockets.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"

namespace gannetcourse::platform {

class EventStream {
 public:
  // Takes bytes and calls `tell` with each whole event, as it came. A comment is told to nobody; a load
  // report in one is kept. False where the bytes are no events.
  bool take(std::string_view bytes, const std::function<void(std::string event)>& tell);
  // No more comes. Tells an event that has come but for its empty line. False where the stream is not whole:
  // its last event has not come.
  bool finish(const std::function<void(std::string event)>& tell);
  bool midway() const { return !rest_.empty(); }
  bool ended() const { return ended_; }  // its last event has come
  double keptTokens() const { return kept_; }
  double writtenTokens() const { return written_; }  // of the answer, as its engine counts them; 0 = not told
  const std::optional<LoadReport>& load() const { return load_; }

 private:
  bool takeEvent(std::string_view event, const std::function<void(std::string event)>& tell);
  void takeUsage(std::string_view data);
  void takeComment(std::string_view comment);

  std::string rest_;    // of an event that is not whole
  bool ended_ = false;  // the last event has come
  double kept_ = 0, written_ = 0;
  std::optional<LoadReport> load_;
};

// "TEXT a=1, b=2": figures by their names in the settings. Nothing where any part cannot be read.
std::optional<LoadReport> readLoadReport(std::string_view text);

}  // namespace gannetcourse::platform
