// What a fake engine does with its work: slots, queue, memory, prefix cache, slow start, load reports. A
// simple model in steps of real time, not a measurement of real machines. No I/O: its host feeds it time and
// carries out the jobs' callbacks.
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

constexpr double kPrefillOverheadTokens = 150;  // a prefill's fixed cost, as tokens

/// The machine that is modelled. Durations are seconds.
struct EngineSpec {
  std::uint32_t id = 0;
  Role role = Role::kPrefill;
  std::string zone;
  std::uint32_t cell = 0;
  int slots = 8, maxQueued = 32;
  double memoryTokens = 200000;
  double tokensPerSecond = 18000;  ///< Of a prefill.
  double tokenTime = 0.01;         ///< Between two tokens of one stream on an idle machine.
  double contention = 1.0;         ///< How many times longer a token takes with all slots in use.
  double reportPeriod = 0.5, reportDelay = 0.05;
  double initialCapacity = 0.3, slowStartDuration = 13;
};

/// The response of every fake decode engine to a seed, so that clients can check it.
std::uint32_t answerLength(std::uint64_t seed, std::uint32_t most);
std::string answerText(std::uint64_t seed, std::uint32_t index);

/// A prompt to prefill.
struct PrefillJob {
  std::string session, prefix;
  double promptTokens = 0, prefixTokens = 0;
  std::function<void(double keptTokens)> onDone;
  double remainingTokens = 0, cachedTokens = 0;
};

/// A response to generate.
struct DecodeJob {
  double promptTokens = 0;
  std::uint64_t seed = 0;
  std::uint32_t outputTokens = 0;
  bool needsPrefill = false;  ///< It has no state; only a mixed engine takes it.
  /// Called when it has slot and memory. Returns the seconds until the state is here, or nothing while that
  /// is not known; negative: the state is lost.
  std::function<std::optional<double>()> startFetch;
  std::function<void()> onFetched, onStateLost, onDone;
  std::function<void(std::uint32_t index)> onToken;
  // Progress, set by the model.
  enum class Stage { kQueued, kFetching, kPrefilling, kDecoding } stage = Stage::kQueued;
  double fetchRemaining = -1, prefillRemaining = 0, tokensDue = 0;
  std::uint32_t nextIndex = 0;  // of the next token
  bool preempted = false;       // has to be prefilled again
  double memoryTokens = 0;      // tokens of memory
};

/// One engine's queues, memory and speed. Jobs are named by the host.
class EngineModel {
 public:
  explicit EngineModel(EngineSpec spec) : spec_(std::move(spec)) {}
  const EngineSpec& spec() const { return spec_; }

  /// A new process: empty, and in slow start where `startedAt` is given.
  void restart(std::optional<double> startedAt);

  /// False where there is no free slot or memory.
  bool addPrefill(std::uint64_t name, PrefillJob job);
  bool addDecode(std::uint64_t name, DecodeJob job);
  void remove(std::uint64_t name);
  bool reserve(const std::string& request, double tokens);
  void releaseReservation(const std::string& request);
  void addState(double tokens) { stateTokens_ += tokens; }
  void releaseState(double tokens) { stateTokens_ -= tokens; }

  /// Does `span` seconds of work that end at `now`.
  void step(double now, double span);
  double speed = 1;       ///< Set by faults; 0 = stands still.
  double extraDelay = 0;  ///< Of its load reports, seconds.

  double capacityShare(double now) const;  ///< Share of a warm engine's.
  LoadReport report(double now) const;     ///< As old as its reports are.
  std::size_t requestsInFlight() const { return prefills_.size() + decodes_.size(); }
  bool fits(double tokens) const { return memoryUsed() + tokens <= spec_.memoryTokens; }

 private:
  using Prefills = std::list<std::pair<std::uint64_t, PrefillJob>>;
  using Decodes = std::list<std::pair<std::uint64_t, DecodeJob>>;
  void stepPrefills(double work);
  void stepDecodes(double span, double share);
  void admitDecodes();
  void advance(std::uint64_t name, DecodeJob& job, double span, double share);
  bool advanceFetch(std::uint64_t name, DecodeJob& job, double span);
  void decodeTokens(std::uint64_t name, DecodeJob& job, double span, double share);
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
