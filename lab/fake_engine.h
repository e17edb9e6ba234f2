// Fake engines on sockets: the project's engine service over gRPC in front of an EngineModel, with faults
// that act on its calls. Never linked into the product.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine_model.h"
#include "grpc/server.h"
#include "ledger.h"

namespace gannetcourse::lab {

class FakeEngine;

/// What all fake engines share: the links between them, and the audit.
struct Testbed {
  net::Loop& loop;
  Ledger& ledger;
  std::mt19937_64& random;
  std::vector<std::string> zones;
  double sameCellRate = 250000, otherCellRate = 120000,
         zoneFactor = 2;               // tokens a second; times slower to another zone
  double linkSlowdown = 1;             ///< Times slower, by a fault.
  std::optional<std::string> cutZone;  ///< This zone and the others cannot reach each other.
  std::vector<double> meanPrompt;      // by class: what a send weighs is against this
  std::vector<std::string> classes;
  double slowStartOverloadFactor = 2.5, slowStartWindow = 2;
  std::unordered_map<std::string, FakeEngine*> byAddress;
  double meanFresh = 600;  ///< Tokens of an uncached prefill, its overhead included.

  double now() const { return net::monotonicNow().time_since_epoch().count(); }
  std::uint32_t zoneIndex(const std::string& zone) const;
  bool isCut(const std::string& a, const std::string& b) const {
    return cutZone && (a == *cutZone) != (b == *cutZone);
  }
  double randomUnit() { return std::uniform_real_distribution<double>()(random); }
};

/// Faults that act on single calls.
struct CallFaults {
  double errorShare = 0;                    // fast_errors
  std::optional<std::string> failingClass;  // class_fail: this class's calls
  double failingShare = 0;
  bool failByError = false;  // else by silence
  std::optional<std::string> throttledTenant, throttledClass;
  double repeatShare = 0;                      // tokens that come twice
  double cutAtEndShare = 0;                    // streams that are reset after their last token
  double throttleRate = 0, throttleDelay = 0;  // calls a second that are taken; seconds until it says no
};

/// One engine process. Runs on the testbed's loop, which must outlive it.
class FakeEngine {
 public:
  FakeEngine(Testbed& testbed, EngineSpec spec);
  ~FakeEngine();
  FakeEngine(const FakeEngine&) = delete;
  FakeEngine& operator=(const FakeEngine&) = delete;

  const EngineSpec& spec() const { return model_.spec(); }
  EngineModel& model() { return model_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  std::int64_t startedUnixMs() const { return startedUnixMs_; }

  void step(double now, double span);

  // ---- Faults ----
  CallFaults callFaults;
  void crash();                 ///< Resets all connections and closes the port.
  void setSilent(bool silent);  ///< Answers nothing and closes nothing.
  void restart();               ///< A new process, in slow start.
  void applyCut();              ///< After Testbed::cutZone has changed.
  bool isCrashed() const { return crashed_; }
  bool isSilent() const { return silent_; }
  bool isDown() const { return crashed_ || silent_; }
  bool hasFailedFromOverload() const {
    return failedFromOverload_;
  }  ///< Overloaded in slow start; it stays down.

  // ---- For decode engines that fetch states ----
  bool hasState(const std::string& state) const { return states_.count(state) > 0; }
  void onStateFetched(const std::string& state);
  void setFetching(const std::string& state, bool on);

  /// Reads what its sockets hold, so that the audit is up to date.
  void poll() { server_.readAllNow(); }
  std::size_t openCalls() const { return openCalls_.size(); }
  std::size_t states() const { return states_.size(); }

 private:
  using Call = std::shared_ptr<grpc::ServerCall>;
  struct OpenCall {
    std::weak_ptr<grpc::ServerCall> call;
    EngineAttemptKey key = 0;
    std::string state;  // that it fetches
    FakeEngine* prefillEngine = nullptr;
    std::string request;
    std::uint32_t attempt = 0;
    double lease = 0;                      // seconds; 0 = none
    ClientAttemptId unfinishedStream = 0;  // a stream that has begun and is not complete
  };
  struct State {
    std::string request;
    std::uint32_t attempt = 0;
    double tokens = 0;
    std::uint64_t connection = 0;
    bool fetching = false;
  };
  struct AttemptInfo {
    std::string request, node, requestClass, tenant;
    std::uint32_t attempt = 0;
    ClientAttemptId id = 0;
    double promptTokens = 0;
  };

  void serve();
  void prefill(const Call& call, std::string_view bytes);
  void decode(const Call& call, std::string_view bytes);
  void reserve(const Call& call, std::string_view bytes);
  void release(const Call& call, std::string_view bytes);
  void fence(const Call& call, std::string_view bytes);
  void probe(const Call& call);

  // An attempt counts as open from its arrival, though a silent engine does nothing with it.
  void recordUnhandledCall(const Call& call, std::string_view bytes);
  EngineAttemptKey recordAttempt(const Call& call, const AttemptInfo& attempt);
  // Records the attempt; nothing where a fault takes the call, or the engine fails from overload now.
  std::optional<std::uint64_t> admit(const Call& call, const AttemptInfo& attempt);
  bool endAttempts(const std::string& request, std::uint32_t upTo, const char* why);
  void endLeases(double now);
  bool applyCallFaults(const Call& call, const AttemptInfo& attempt);
  void onCallClosed(std::uint64_t name);
  void checkConcurrentAttempts(EngineAttemptKey key);
  DecodeJob makeDecodeJob(const Call& call, std::uint64_t name, const AttemptInfo& attempt);
  std::optional<double> fetchTime(const std::string& state, const std::string& readerAddress, double tokens);
  void dropState(const std::string& state);
  Ledger::EngineName name() const;
  std::string reportBytes() const;

  Testbed& testbed_;
  EngineModel model_;
  grpc::Server server_;
  std::unordered_map<std::uint64_t, OpenCall> openCalls_;
  std::unordered_map<const grpc::ServerCall*, EngineAttemptKey>
      unhandledAttempts_;  // recorded, not yet handled
  std::unordered_map<std::string, State> states_;
  struct Fence {
    std::uint32_t below = 0;  // attempts under this number are refused
    double at = 0;
  };
  std::unordered_map<std::string, Fence> fences_;
  double pruneAt_ = 0;
  std::uint64_t last_ = 0;
  std::int64_t startedUnixMs_ = 0;
  bool crashed_ = false, silent_ = false, failedFromOverload_ = false;
  double throttleLeft_ = 1, throttleAt_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::lab
