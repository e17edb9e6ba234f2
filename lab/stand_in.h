// Stand-in engines on sockets: the project's engine service over gRPC in front of an EngineModel, with
// troubles that act on what passes there. Never linked into the product.
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

class StandIn;

// What all stand-ins share: the links between them, and the books.
struct Fabric {
  net::Loop& loop;
  Ledger& ledger;
  std::mt19937_64& random;
  std::vector<std::string> zones;
  double nearRate = 250000, farRate = 120000,
         zoneFactor = 2;               // tokens a second; times slower to another zone
  double linkSlow = 1;                 // times slower, by trouble
  std::optional<std::string> cutZone;  // this zone and the others do not hear each other
  std::vector<double> meanPrompt;      // by class: what a send weighs is against this
  std::vector<std::string> classes;
  double coldFactor = 2.5, coldWindow = 2;
  std::unordered_map<std::string, StandIn*> byAddress;
  double meanFresh = 600;  // tokens that a warm reader has to read for a request, its overhead included

  double now() const { return net::monotonicNow().time_since_epoch().count(); }
  std::uint32_t zoneIndex(const std::string& zone) const;
  bool cut(const std::string& a, const std::string& b) const {
    return cutZone && (a == *cutZone) != (b == *cutZone);
  }
  double draw() { return std::uniform_real_distribution<double>()(random); }
};

// Troubles that act on single calls.
struct CallTroubles {
  double errorShare = 0;                 // fast_errors
  std::optional<std::string> lostClass;  // class_fail: this class's calls
  double lostShare = 0;
  bool lostByError = false;  // else by silence
  std::optional<std::string> throttledTenant, throttledClass;
  double repeatShare = 0;                      // tokens that come twice
  double cutAtEndShare = 0;                    // streams that are reset after their last token
  double throttleRate = 0, throttleDelay = 0;  // calls a second that are taken; seconds until it says no
};

class StandIn {
 public:
  StandIn(Fabric& fabric, EngineSpec spec);
  ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  const EngineSpec& spec() const { return model_.spec(); }
  EngineModel& model() { return model_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  std::int64_t startedUnixMs() const { return startedUnixMs_; }

  void step(double now, double span);

  // ---- Troubles ----
  CallTroubles calls;
  void crash();               // RST everywhere, port closed
  void silence(bool silent);  // answers nobody and closes nothing
  void comeBack();            // a new, cold process
  void applyCut();            // after Fabric::cutZone has changed
  bool dead() const { return dead_; }
  bool silent() const { return silent_; }
  bool down() const { return dead_ || silent_; }
  bool fallen() const { return fallen_; }  // pushed over when cold; it stays down

  // ---- For writers that fetch ----
  bool hasState(const std::string& state) const { return states_.count(state) > 0; }
  void stateTaken(const std::string& state);
  void pinForFetch(const std::string& state, bool on);

  // Reads what its sockets hold, so that the books are up to date.
  void poll() { server_.pollAll(); }
  std::size_t openCalls() const { return open_.size(); }
  std::size_t states() const { return states_.size(); }

 private:
  using Call = std::shared_ptr<grpc::ServerCall>;
  struct Open {
    std::weak_ptr<grpc::ServerCall> call;
    AttemptKey key = 0;
    std::string state;  // that it fetches
    StandIn* reader = nullptr;
    std::string request;
    std::uint32_t attempt = 0;
    double lease = 0;   // seconds; 0 = none
    TryId written = 0;  // of a stream that has begun and is not whole
  };
  struct State {
    std::string request;
    std::uint32_t attempt = 0;
    double tokens = 0;
    std::uint64_t connection = 0;
    bool fetching = false;
  };
  struct Named {
    std::string request, node, requestClass, tenant;
    std::uint32_t attempt = 0;
    TryId id = 0;
    double promptTokens = 0;
  };

  void serve();
  void prefill(const Call& call, std::string_view bytes);
  void decode(const Call& call, std::string_view bytes);
  void reserve(const Call& call, std::string_view bytes);
  void release(const Call& call, std::string_view bytes);
  void fence(const Call& call, std::string_view bytes);
  void probe(const Call& call);

  // The attempt is out from when it has come, though a silent engine does nothing with it.
  void bookHeld(const Call& call, std::string_view bytes);
  AttemptKey book(const Call& call, const Named& named);
  // Books the attempt; nothing where a trouble has taken the call, or it falls over now.
  std::optional<std::uint64_t> open(const Call& call, const Named& named);
  bool endAttempts(const std::string& request, std::uint32_t upTo, const char* why);
  void endLeases(double now);
  bool troubled(const Call& call, const Named& named);
  void closed(std::uint64_t name);
  void checkOverlap(AttemptKey key);
  WriteJob writeJob(const Call& call, std::uint64_t name, const Named& named);
  std::optional<double> fetchTime(const std::string& state, const std::string& readerAddress, double tokens);
  void dropState(const std::string& state);
  Ledger::EngineName name() const;
  std::string reportBytes() const;

  Fabric& fabric_;
  EngineModel model_;
  grpc::Server server_;
  std::unordered_map<std::uint64_t, Open> open_;
  std::unordered_map<const grpc::ServerCall*, AttemptKey> held_;  // booked, not yet handled
  std::unordered_map<std::string, State> states_;
  struct Fenced {
    std::uint32_t below = 0;  // attempts under this number are refused
    double at = 0;
  };
  std::unordered_map<std::string, Fenced> fences_;
  double pruneAt_ = 0;
  std::uint64_t last_ = 0;
  std::int64_t startedUnixMs_ = 0;
  bool dead_ = false, silent_ = false, fallen_ = false;
  double throttleLeft_ = 1, throttleAt_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::lab
