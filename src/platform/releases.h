// Releases of what engines hold for a request. Any engine takes one for all, so each is sent to one engine
// after the other, and to more at a time the longer it takes, until one has answered. Decides nothing about
// when one is due.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "http1/client.h"
#include "net/loop.h"
#include "platform/engine_table.h"

namespace gannetcourse::platform {

class Releases {
 public:
  struct Counts {
    std::uint64_t begun = 0, taken = 0, givenUp = 0;
    std::uint64_t asks = 0;  // calls that they took
    Duration slowest{0};     // from the decision until an engine had taken it
  };
  using Log = std::function<void(const std::string& level, const std::string& text)>;
  static constexpr std::size_t kMostPending = 4096;  // past it the oldest is given up
  static constexpr std::size_t kMostAsks = 64;       // calls that may be out at once

  // The table's engines may change between calls; `heardFrom` is told of each engine that answers.
  Releases(net::Loop& loop, http1::Client& client, const EngineTable& engines,
           std::function<void(EngineId)> heardFrom);
  ~Releases();
  Releases(const Releases&) = delete;
  Releases& operator=(const Releases&) = delete;

  // For how long a state may stay held: other engines are asked well before that. 0 = no limit.
  void takePinLimit(Duration limit);
  void logTo(Log log) { log_ = std::move(log); }

  // One that is still pending goes on, until a call that was sent after this one is answered.
  void begin(const std::string& id);

  std::size_t pending() const { return pending_.size(); }
  // Those that the end of the process has to wait for: where no engine answers for seconds it does not.
  std::size_t owed() const;
  const Counts& counts() const { return counts_; }

 private:
  struct Release {
    std::string id;
    Instant begunAt, askedAt;
    Instant wantedAt;          // the newest begin(): a call that was sent before it may have come too early
    std::set<EngineId> asked;  // in this round
    std::size_t width = 1;     // engines that the next step asks
    bool done = false;
  };
  struct Ask {
    std::shared_ptr<Release> release;
    EngineId engine;
    Instant sentAt;
    http1::CallId call = 0;
    net::TimerId timer = 0;
  };
  using AskId = std::uint64_t;
  // Calls to one engine since it last answered one.
  struct Unanswered {
    std::size_t calls = 0;
    Instant since;  // the first of them
  };

  std::shared_ptr<Release> add(const std::string& id);
  void step();
  void stepOf(const std::shared_ptr<Release>& release);
  void ask(const std::shared_ptr<Release>& release, EngineId engine);
  void answered(AskId id, int status);
  void askOthersAt(EngineId engine);
  void finish(const std::shared_ptr<Release>& release, bool taken);
  std::optional<EngineId> nextFor(const Release& release) const;
  bool askedAll(const Release& release) const;
  // Whether the call would end its release: it is not from before a repeat.
  static bool wouldEnd(const Ask& ask) { return ask.sentAt >= ask.release->wantedAt; }
  std::set<EngineId> enginesAskedFor(const Release& release) const;
  std::set<const Release*> releasesAskedOf(EngineId engine) const;
  bool mayAskMore() const;
  std::size_t shareOfOne() const;
  std::map<EngineId, Unanswered> unansweredByEngine() const;
  void scheduleStep();

  net::Loop& loop_;
  http1::Client& client_;
  const EngineTable& engines_;
  std::function<void(EngineId)> heardFrom_;
  Log log_;
  Duration step_;
  net::TimerId stepTimer_ = 0;
  std::list<std::shared_ptr<Release>> pending_;                     // the oldest first
  std::unordered_map<std::string, std::shared_ptr<Release>> byId_;  // the same
  std::map<AskId, Ask> asks_;                                       // that are out
  std::map<EngineId, Instant> answeredAt_;  // when each engine last answered one, while releases are pending
  AskId lastAsk_ = 0;
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::platform
