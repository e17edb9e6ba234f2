// Fake engines: servers for the project's gRPC engine service, each with an EngineModel that simulates the
// work, and with faults that act on calls. Never linked into the product.
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

/// What all fake engines share: the event loop, the audit, the random numbers and the links between engines.
struct Testbed {
  net::Loop& loop;
  Ledger& ledger;
  std::mt19937_64& random;
  std::vector<std::string> zones;
  // Rates of state transfers in tokens per second. A transfer to another zone takes zoneFactor times as long.
  double sameCellRate = 250000, otherCellRate = 120000, zoneFactor = 2;
  double crossCellSlowdown = 1;             ///< Divides otherCellRate; set by a fault.
  std::optional<std::string> isolatedZone;  ///< Has no connection to other zones, in both directions.
  std::vector<double> meanPrompt;  // mean prompt tokens by class; the weight of a request is relative to it
  std::vector<std::string> classes;
  double slowStartOverloadFactor = 2.5, slowStartWindow = 2;
  std::unordered_map<std::string, FakeEngine*> byAddress;
  double meanUncachedPrefill = 600;  ///< Mean tokens of an uncached prefill, including its overhead.

  double now() const { return net::monotonicNow().time_since_epoch().count(); }
  std::uint32_t zoneIndex(const std::string& zone) const;
  bool isUnreachable(const std::string& a, const std::string& b) const {
    return isolatedZone && (a == *isolatedZone) != (b == *isolatedZone);
  }
  double randomUnit() { return std::uniform_real_distribution<double>()(random); }
};

/// Faults that act on single calls. Shares are probabilities from 0 to 1.
struct CallFaults {
  double errorShare = 0;                    // fast_errors
  std::optional<std::string> failingClass;  // class_fail: affects calls of this class
  double failingShare = 0;
  bool failByError = false;  // false: the call gets no response
  std::optional<std::string> throttledTenant, throttledClass;
  double repeatShare = 0;                      // probability that a token is sent twice
  double resetAtEndShare = 0;                  // probability that a stream is reset after its last token
  double throttleRate = 0, throttleDelay = 0;  // accepted calls per second; seconds until a rejection is sent
};

/// A fake engine process. Runs on the testbed's loop; the testbed must outlive it.
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
  void setSilent(bool silent);  ///< Neither responds nor closes connections.
  void restart();               ///< Starts a new process, in slow start.
  void applyZoneIsolation();    ///< Must be called after each change of Testbed::isolatedZone.
  bool isCrashed() const { return crashed_; }
  bool isSilent() const { return silent_; }
  bool isDown() const { return crashed_ || silent_; }
  /// Whether the engine failed from overload in slow start. Such an engine stays down: restart() does
  /// nothing.
  bool hasFailedFromOverload() const { return failedFromOverload_; }

  // ---- For decode engines that fetch states ----
  bool hasState(const std::string& state) const { return states_.count(state) > 0; }
  void onStateFetched(const std::string& state);
  void setFetching(const std::string& state, bool on);

  /// Handles all data that the engine's sockets have received, so that the audit is up to date.
  void poll() { server_.readAllNow(); }
  std::size_t openCalls() const { return openCalls_.size(); }
  std::size_t states() const { return states_.size(); }

 private:
  using Call = std::shared_ptr<grpc::ServerCall>;
  struct OpenCall {
    std::weak_ptr<grpc::ServerCall> call;
    EngineAttemptKey key = 0;
    std::string state;  // the state that the call fetches
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

  void registerHandlers();
  void prefill(const Call& call, std::string_view bytes);
  void decode(const Call& call, std::string_view bytes);
  void reserve(const Call& call, std::string_view bytes);
  void release(const Call& call, std::string_view bytes);
  void fence(const Call& call, std::string_view bytes);
  void probe(const Call& call);

  // Records an attempt that arrives while the engine is suspended, because an attempt counts as open from its
  // arrival on.
  void recordUnhandledCall(const Call& call, std::string_view bytes);
  EngineAttemptKey recordAttempt(const Call& call, const AttemptInfo& attempt);
  // Records the attempt and returns the handle of its call. Returns nothing if the call must not run: it was
  // fenced, a fault applies to the call, or the call makes the engine fail from overload.
  std::optional<std::uint64_t> admit(const Call& call, const AttemptInfo& attempt);
  bool endAttempts(const std::string& request, std::uint32_t upTo, const char* why);
  void endLeases(double now);
  bool applyCallFaults(const Call& call, const AttemptInfo& attempt);
  void onCallClosed(std::uint64_t handle);
  void checkConcurrentAttempts(EngineAttemptKey key);
  DecodeJob makeDecodeJob(const Call& call, std::uint64_t handle, const AttemptInfo& attempt);
  std::optional<double> fetchTime(const std::string& state, const std::string& prefillAddress, double tokens);
  void dropState(const std::string& state);
  Ledger::EngineInfo engineInfo() const;
  std::string reportBytes() const;

  Testbed& testbed_;
  EngineModel model_;
  grpc::Server server_;
  std::unordered_map<std::uint64_t, OpenCall> openCalls_;
  std::unordered_map<const grpc::ServerCall*, EngineAttemptKey>
      unhandledAttempts_;  // recorded while suspended, not handled yet
  std::unordered_map<std::string, State> states_;
  struct Fence {
    std::uint32_t firstAllowedAttempt = 0;  // attempts below this number are rejected
    double updatedAt = 0;
  };
  std::unordered_map<std::string, Fence> fences_;
  double pruneAt_ = 0;
  std::uint64_t lastId_ = 0;
  std::int64_t startedUnixMs_ = 0;
  bool crashed_ = false, silent_ = false, failedFromOverload_ = false;
  double throttleLeft_ = 1, throttleAt_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::lab
