// An engine's stream of events, cut out of its chunks. Bytes in, whole events out; no sockets.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"

namespace gannetcourse::platform {

class EventStreamDecoder {
 public:
  // Takes bytes and calls `tell` with each whole event, as it came. A comment is told to nobody; a load
  // report in one is kept. False where the bytes are no events.
  bool feed(std::string_view bytes, const std::function<void(std::string event)>& tell);
  // No more comes. Tells an event that has come but for its empty line. False where the stream is not whole:
  // its last event has not come.
  bool finish(const std::function<void(std::string event)>& tell);
  bool hasPartialEvent() const { return !partialEvent_.empty(); }
  bool isComplete() const { return complete_; }  // its last event has come
  double cachedTokens() const { return cachedTokens_; }
  double generatedTokens() const {
    return generatedTokens_;
  }  // of the answer, as its engine counts them; 0 = not told
  const std::optional<LoadReport>& loadReport() const { return loadReport_; }

 private:
  bool decodeEvent(std::string_view event, const std::function<void(std::string event)>& tell);
  void readUsage(std::string_view data);
  void readComment(std::string_view comment);

  std::string partialEvent_;  // of an event that is not whole
  bool complete_ = false;     // the last event has come
  double cachedTokens_ = 0, generatedTokens_ = 0;
  std::optional<LoadReport> loadReport_;
};

// "TEXT a=1, b=2": figures by their names in the settings. Nothing where any part cannot be read.
std::optional<LoadReport> parseLoadReport(std::string_view text);

}  // namespace gannetcourse::platform
