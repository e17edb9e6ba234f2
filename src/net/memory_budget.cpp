#include "net/memory_budget.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::net {
namespace {

constexpr std::array<const char*, kMemoryUseCount> kUseNames = {
    "client_connections", "unparsed_input",     "partial_requests", "open_requests", "request_records",
    "client_output",      "engine_connections", "engine_input",     "engine_output", "engine_list"};

// A buffer of up to this size is kept for the next message; a larger one is returned once it is unused.
constexpr std::size_t kMaxUnusedBytes = 1024;

// The shares of the uses, in percent of the shared part; 100 for fixed parts and for what its owner bounds.
constexpr std::array<std::uint64_t, kMemoryUseCount> kSharePercent = {100, 15,  20, 40,  100,
                                                                      10,  100, 10, 100, 100};
constexpr std::uint64_t kNearlyExhaustedPercent = 90;
constexpr std::uint64_t kOpenRequestDivisor = 4;

std::size_t indexOf(MemoryUse use) { return static_cast<std::size_t>(use); }

}  // namespace

const char* nameOf(MemoryUse use) { return kUseNames[indexOf(use)]; }

void HeldBytes::add(MemoryUse use, std::uint64_t bytes) {
  byUse_[indexOf(use)] += bytes;
  total_ += bytes;
}

void HeldBytes::subtract(MemoryUse use, std::uint64_t bytes) {
  byUse_[indexOf(use)] -= bytes;
  total_ -= bytes;
}

void MemoryBudget::change(MemoryUse use, std::uint64_t before, std::uint64_t after) {
  held_.subtract(use, before);
  held_.add(use, after);
  recentPeak_ = std::max(recentPeak_, held_.total());
  if (held_.total() > peak_.total()) peak_ = held_;
}

std::uint64_t MemoryBudget::shareOf(MemoryUse use) const {
  return limits_.shared / 100 * kSharePercent[indexOf(use)];
}

bool MemoryBudget::allowsOpenRequest(std::uint64_t bytes) const {
  if (isExhausted()) return false;
  const std::uint64_t share = shareOf(MemoryUse::kOpenRequests);
  const std::uint64_t held = held_.of(MemoryUse::kOpenRequests);
  return bytes < limits_.fairPart || held + kOpenRequestDivisor * bytes <= share;
}

bool MemoryBudget::isNearlyExhausted(MemoryUse use) const {
  return held_.of(use) >= shareOf(use) / 100 * kNearlyExhaustedPercent;
}

bool MemoryBudget::isShort() const {
  constexpr std::array kUses = {MemoryUse::kUnparsedInput, MemoryUse::kPartialRequests,
                                MemoryUse::kOpenRequests, MemoryUse::kClientOutput, MemoryUse::kEngineInput};
  return isExhausted() ||
         std::any_of(kUses.begin(), kUses.end(), [this](MemoryUse use) { return isNearlyExhausted(use); });
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryUse use, std::uint64_t bytes)
    : budget_(std::move(budget)), use_(use) {
  set(bytes);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(std::move(other.budget_)), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  set(0);
  budget_ = std::move(other.budget_);
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void MemoryCharge::set(std::uint64_t bytes) {
  if (budget_ == nullptr || bytes == bytes_) return;
  budget_->change(use_, bytes_, bytes);
  bytes_ = bytes;
}

std::size_t heapBytesOf(const std::string& text) {
  static const std::size_t kInlineCapacity = std::string().capacity();
  return text.capacity() <= kInlineCapacity ? 0 : text.capacity() + 1 + kAllocationOverhead;
}

void releaseUnusedBytes(std::string& text) {
  if (text.capacity() > 2 * text.size() + kMaxUnusedBytes) text.shrink_to_fit();
}

}  // namespace gannetcourse::net
