#include "http1/arrival_times.h"

#include <algorithm>

namespace gannetcourse::http1 {

void ArrivalTimes::record(std::size_t bytes, Instant now) {
  received_ += bytes;
  const bool extendsLast = !pieces_.empty() && (pieces_.back().at == now || pieces_.size() >= kMaxPieces);
  if (extendsLast) {
    pieces_.back().end = received_;
  } else {
    pieces_.push_back({received_, now});
  }
}

Instant ArrivalTimes::onParsed(std::size_t unparsedBytes) {
  const std::uint64_t parsed = received_ - unparsedBytes;
  const auto isParsed = [parsed](const Piece& piece) { return piece.end < parsed; };
  pieces_.erase(pieces_.begin(), std::find_if_not(pieces_.begin(), pieces_.end(), isParsed));
  return pieces_.front().at;
}

}  // namespace gannetcourse::http1
