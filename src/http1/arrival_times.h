// When the bytes of a connection arrived, for requests that wait in its buffer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::http1 {

/// Remembers the arrival times of the bytes that have not been parsed yet.
class ArrivalTimes {
 public:
  static constexpr std::size_t kMaxPieces = 256;  ///< Later ones count as arrived with the last of these.

  /// Bytes have arrived.
  void record(std::size_t bytes, Instant now);
  /// All received bytes but the last `unparsedBytes` have been parsed; forgets the times of earlier ones than
  /// the last parsed byte. Returns when that one arrived; at least one byte must have been recorded.
  Instant onParsed(std::size_t unparsedBytes);

 private:
  struct Piece {
    std::uint64_t end;  // number of bytes received up to and including this piece
    Instant at;
  };

  std::vector<Piece> pieces_;
  std::uint64_t received_ = 0;
};

}  // namespace gannetcourse::http1
