// What a stand-in engine does with its work: slots, queue, memory, kept prefixes, cold start, load reports. A
// simple model in steps of real time, not a measurement of real machines. No I/O: its host feeds it time and
// carries out what it tells through the jobs' callbacks.
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

constexpr double kReadOverhead = 150;  // a read's fixed cost, as tokens

struct EngineSpec {
  std::uint32_t id = 0;
  Role role = Role::kPrefill;
  std::string zone;
  std::uint32_t cell = 0;
  int slots = 8, queue = 32;
  double memoryTokens = 200000;
  double tokensPerSecond = 18000;  // read
  double tokenTime = 0.01;         // seconds between two tokens of one answer on an idle machine
  double crowding = 1.0;           // how many times longer a token takes with all slots in use
  double reportPeriod = 0.5, reportDelay = 0.05;
  double startCapacity = 0.3, warmAfter = 13;
};

// The answer that every stand-in writer gives to a seed, so that clients can check it.
std::uint32_t answerLength(std::uint64_t seed, std::uint32_t most);
std::string answerText(std::uint64_t seed, std::uint32_t index);

// A prompt to read.
struct ReadJob {
  std::string session, prefix;
  double promptTokens = 0, prefixTokens = 0;
  std::function<void(double keptTokens)> done;
  double left = 0, kept = 0;
};

// An answer to write.
struct WriteJob {
  double promptTokens = 0;
  std::uint64_t seed = 0;
  std::uint32_t outputTokens = 0;
  bool mustRead = false;  // has no state; only a mixed engine takes it
  // Asked when it has slot and memory: seconds until the state is here, or nothing while that cannot be said
  // yet; a negative time says that the state is gone.
  std::function<std::optional<double>()> fetch;
  std::function<void()> fetched, lost, done;
  std::function<void(std::uint32_t index)> token;
  // Where it stands.
  enum class Stage { kQueued, kFetching, kReading, kWriting } stage = Stage::kQueued;
  double fetchLeft = -1, readLeft = 0, owed = 0;
  std::uint32_t next = 0;  // token to be written
  bool preempted = false;  // has to be read anew
  double held = 0;         // tokens of memory
};

class EngineModel {
 public:
  explicit EngineModel(EngineSpec spec) : spec_(std::move(spec)) {}
  const EngineSpec& spec() const { return spec_; }

  // A new process: empty, and cold where `startedAt` is given.
  void restart(std::optional<double> startedAt);

  // False where there is no place. Jobs are named by their host.
  bool addRead(std::uint64_t name, ReadJob job);
  bool addWrite(std::uint64_t name, WriteJob job);
  void drop(std::uint64_t name);
  bool reserve(const std::string& request, double tokens);
  void unreserve(const std::string& request);
  void holdState(double tokens) { states_ += tokens; }
  void releaseState(double tokens) { states_ -= tokens; }

  // Does `span` seconds of work that end at `now`.
  void step(double now, double span);
  double speed = 1;       // set by troubles; 0 = stands still
  double extraDelay = 0;  // of its reports

  double capacityShare(double now) const;  // of a warm engine
  LoadReport report(double now) const;     // as old as its reports are
  std::size_t inHand() const { return reads_.size() + writes_.size(); }
  bool fits(double tokens) const { return memoryUsed() + tokens <= spec_.memoryTokens; }

 private:
  using Reads = std::list<std::pair<std::uint64_t, ReadJob>>;
  using Writes = std::list<std::pair<std::uint64_t, WriteJob>>;
  void stepReads(double work);
  void stepWrites(double span, double share);
  void admitWrites();
  void advance(std::uint64_t name, WriteJob& job, double span, double share);
  double memoryUsed() const { return states_ + reserved_ + written_; }
  double keptOf(const ReadJob& job);
  void keep(const std::string& key, double tokens);
  void snapshot(double now);
  int running() const;

  EngineSpec spec_;
  std::optional<double> startedAt_;
  Reads reads_;
  Writes writes_;
  double states_ = 0, reserved_ = 0, written_ = 0;  // tokens in memory
  std::map<std::string, double> seats_;
  std::list<std::pair<std::string, double>> keptOrder_;  // newest first
  std::unordered_map<std::string, std::list<std::pair<std::string, double>>::iterator> kept_;
  double keptTokens_ = 0;
  std::deque<std::pair<double, LoadReport>> history_;
};

}  // namespace gannetcourse::lab
