// Account of the memory that the parts of a node hold for its peers, against one limit.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace gannetcourse::net {

/// What memory is held for.
enum class MemoryUse : std::uint8_t {
  kClientConnections,  ///< The fixed part of each connection from a client.
  kUnparsedInput,      ///< Received bytes of requests that have not been parsed.
  kPartialRequests,    ///< The parsed part of requests that are not complete.
  kOpenRequests,       ///< Payloads of requests that have no final response yet.
  kRequestRecords,     ///< The fixed part of each open request.
  kClientOutput,       ///< Output that clients have not taken.
  kEngineConnections,  ///< The fixed part of each connection to an engine.
  kEngineInput,        ///< Responses of engines that have not been passed on.
  kEngineOutput,       ///< Requests that engines have not taken.
  kEngineList,         ///< Engine lists that are being received from discovery.
};
inline constexpr std::size_t kMemoryUseCount = 10;

/// The use's name in statistics, such as "open_requests".
const char* nameOf(MemoryUse use);

/// Limits of a MemoryBudget, in bytes.
struct MemoryLimits {
  std::uint64_t total = UINT64_MAX;  ///< For all uses together.
  std::uint64_t buffers =
      UINT64_MAX;  ///< The total less the fixed parts of all connections and engines' fair parts.
  std::uint64_t shared = UINT64_MAX;    ///< The total less the fixed and the fair parts of all connections.
  std::uint64_t fairPart = UINT64_MAX;  ///< What each connection may hold whatever others hold.
};

/// Bytes held at one moment, by use.
class HeldBytes {
 public:
  std::uint64_t total() const { return total_; }
  std::uint64_t of(MemoryUse use) const { return byUse_[static_cast<std::size_t>(use)]; }
  /// The total without the fixed parts.
  std::uint64_t buffers() const {
    return total_ - of(MemoryUse::kClientConnections) - of(MemoryUse::kEngineConnections) -
           of(MemoryUse::kRequestRecords);
  }
  void add(MemoryUse use, std::uint64_t bytes);
  void subtract(MemoryUse use, std::uint64_t bytes);

 private:
  std::uint64_t total_ = 0;
  std::array<std::uint64_t, kMemoryUseCount> byUse_{};
};

/// Sums up the MemoryCharges of a node. Enforces nothing: the owners of the memory ask before they take more.
/// Each use has a share of its own, so that none takes the memory of another. A connection takes more than
/// its fair part of a use only while the share is not exhausted, and nothing is taken while all buffers
/// together have reached their limit. Not thread-safe.
class MemoryBudget {
 public:
  void setLimits(const MemoryLimits& limits) { limits_ = limits; }
  const MemoryLimits& limits() const { return limits_; }
  const HeldBytes& held() const { return held_; }
  const HeldBytes& peak() const { return peak_; }           ///< When the total was highest since the start.
  std::uint64_t recentPeak() const { return recentPeak_; }  ///< Highest total since restartRecentPeak().
  void restartRecentPeak() { recentPeak_ = held_.total(); }

  /// Whether all buffers together have reached their limit.
  bool isExhausted() const { return held_.buffers() >= limits_.buffers; }
  /// Whether more may be taken for `use` by a connection that holds `bytes` for it.
  bool allowsMore(MemoryUse use, std::uint64_t bytes) const {
    return !isExhausted() && (bytes < limits_.fairPart || hasRoom(use));
  }
  /// Whether more may be taken for `use` by a connection that holds its fair part.
  bool hasRoom(MemoryUse use) const { return !isExhausted() && held_.of(use) < shareOf(use); }
  /// Whether a response of an engine that holds `bytes` may be received further. Its fair part is reserved,
  /// so that the streams of others do not break.
  bool allowsEngineInput(std::uint64_t bytes) const {
    return bytes < limits_.fairPart || hasRoom(MemoryUse::kEngineInput);
  }
  /// Whether an open request of `bytes` may be added. It takes at most a quarter of what is left, so that
  /// many large requests leave room for small ones.
  bool allowsOpenRequest(std::uint64_t bytes) const;
  /// Whether the share of any use is nearly exhausted.
  bool isShort() const;

 private:
  friend class MemoryCharge;
  void change(MemoryUse use, std::uint64_t before, std::uint64_t after);
  std::uint64_t shareOf(MemoryUse use) const;
  bool isNearlyExhausted(MemoryUse use) const;

  MemoryLimits limits_;
  HeldBytes held_, peak_;
  std::uint64_t recentPeak_ = 0;
};

/// The bytes that one object holds, charged to a budget until the charge is destroyed.
class MemoryCharge {
 public:
  MemoryCharge() = default;  ///< Charges nothing.
  MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryUse use, std::uint64_t bytes = 0);
  ~MemoryCharge() { set(0); }
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;

  void set(std::uint64_t bytes);
  std::uint64_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;  // may be null
  MemoryUse use_ = MemoryUse::kClientConnections;
  std::uint64_t bytes_ = 0;
};

/// What the allocator adds to each allocation, in bytes.
inline constexpr std::size_t kAllocationOverhead = 16;

/// The heap memory of a string's buffer, in bytes; 0 if the text is stored in the object itself.
std::size_t heapBytesOf(const std::string& text);

/// Empties a value and returns its memory. Assigning an empty string would keep the buffer.
template <class Value>
void release(Value& value) {
  Value empty{};
  std::swap(value, empty);
}

/// Returns the buffer of a string that needs much less than it holds. `text` keeps its contents.
void releaseUnusedBytes(std::string& text);

}  // namespace gannetcourse::net
