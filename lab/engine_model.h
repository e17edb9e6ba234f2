// A model of an engine's work: slots, queue, memory, prefix cache, slow start, load reports. The model
// advances in steps of real time. It is simplified: its speeds need not match those of real machines. No I/O:
// the caller provides the time, and the jobs' callbacks report the results.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::lab {

constexpr double kPrefillOverheadTokens = 150;  // fixed cost of a prefill, in tokens

/// The properties of the modelled engine. Durations are seconds.
struct EngineSpec {
  std::uint32_t id = 0;
  Role role = Role::kPrefill;
  std::string zone;
  std::uint32_t cell = 0;
  int slots = 8, maxQueued = 32;
  double memoryTokens = 200000;
  double tokensPerSecond = 18000;  ///< Speed of prefills.
  double tokenTime = 0.01;         ///< Between two tokens of one stream on an idle engine.
  double contention = 1.0;         ///< With all slots in use, a token takes 1 + contention times as long.
  double reportPeriod = 0.5, reportDelay = 0.05;
  double initialCapacity = 0.3, slowStartDuration = 13;
};

/// The length in tokens (from maxTokens / 3 to maxTokens) and the text of each token of a fake decode
/// engine's response. Both depend only on the arguments, so that clients can check the response.
std::uint32_t answerLength(std::uint64_t seed, std::uint32_t maxTokens);
std::string answerText(std::uint64_t seed, std::uint32_t index);

/// A prompt to prefill.
struct PrefillJob {
  std::string session, prefix;
  double promptTokens = 0, prefixTokens = 0;
  std::function<void(double cachedTokens)> onDone;
  double remainingTokens = 0, cachedTokens = 0;
};

/// A response to generate.
struct DecodeJob {
  double promptTokens = 0;
  std::uint64_t seed = 0;
  std::uint32_t outputTokens = 0;
  bool needsPrefill = false;  ///< The request has no state; only a mixed engine accepts it.
  /// Called in each step once the job has a slot and memory, until the function returns a value. The value is
  /// the number of seconds that the transfer of the state takes, or negative if the state is lost. The
  /// function returns nothing as long as the transfer cannot start.
  std::function<std::optional<double>()> startFetch;
  std::function<void()> onFetched, onStateLost, onDone;
  std::function<void(std::uint32_t index)> onToken;
  // Progress, set by the model.
  enum class Stage { kQueued, kFetching, kPrefilling, kDecoding } stage = Stage::kQueued;
  double fetchRemaining = -1, prefillRemaining = 0, tokensDue = 0;
  std::uint32_t nextIndex = 0;  // of the next token
  bool preempted = false;       // its memory was taken for other streams; has to be prefilled again
  double memoryTokens = 0;      // memory in use, in tokens
};

/// One engine's queues, memory and speed. The caller assigns the jobs' ids, which must be unique.
class EngineModel {
 public:
  explicit EngineModel(EngineSpec spec) : spec_(std::move(spec)) {}
  const EngineSpec& spec() const { return spec_; }

  /// Simulates a new process: drops all jobs and states; slow start begins at `startedAt`, if given.
  void restart(std::optional<double> startedAt);

  /// Both return false if the queue is full, addPrefill() also if the memory is full.
  bool addPrefill(std::uint64_t jobId, PrefillJob job);
  bool addDecode(std::uint64_t jobId, DecodeJob job);
  void remove(std::uint64_t jobId);
  bool reserve(const std::string& request, double tokens);
  void releaseReservation(const std::string& request);
  void addState(double tokens) { stateTokens_ += tokens; }
  void releaseState(double tokens) { stateTokens_ -= tokens; }

  /// Simulates the work of the `span` seconds that end at `now`.
  void step(double now, double span);
  double speed = 1;             ///< Relative to normal; set by faults; 0 = no progress.
  double extraReportDelay = 0;  ///< Added to reportDelay, in seconds; set by faults.

  double capacityShare(double now) const;  ///< Relative to the capacity after slow start, 0 to 1.
  LoadReport report(double now) const;     ///< The newest report that is older than the report delay.
  std::size_t requestsInFlight() const { return prefills_.size() + decodes_.size(); }
  bool fits(double tokens) const { return memoryUsed() + tokens <= spec_.memoryTokens; }

 private:
  using Prefills = std::list<std::pair<std::uint64_t, PrefillJob>>;
  using Decodes = std::list<std::pair<std::uint64_t, DecodeJob>>;
  void stepPrefills(double work);
  void stepDecodes(double span, double speedFactor);
  void admitDecodes();
  void advance(std::uint64_t jobId, DecodeJob& job, double span, double speedFactor);
  bool advanceFetch(std::uint64_t jobId, DecodeJob& job, double span);
  void decodeTokens(std::uint64_t jobId, DecodeJob& job, double span, double speedFactor);
  std::uint64_t preemptNewest();
  double memoryUsed() const { return stateTokens_ + reservedTokens_ + decodeTokens_; }
  double cachedTokensOf(const PrefillJob& job);
  void cachePrefix(const std::string& key, double tokens);
  void snapshot(double now);
  int running() const;

  EngineSpec spec_;
  std::optional<double> startedAt_;
  Prefills prefills_;
  Decodes decodes_;
  double stateTokens_ = 0, reservedTokens_ = 0, decodeTokens_ = 0;  // tokens in memory
  std::map<std::string, double> reservations_;
  std::list<std::pair<std::string, double>> cacheOrder_;  // newest first
  std::unordered_map<std::string, std::list<std::pair<std::string, double>>::iterator> cache_;
  double cachedTokens_ = 0;
  std::deque<std::pair<double, LoadReport>> history_;
};

}  // namespace gannetcourse::lab
