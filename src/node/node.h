// A whole router on one event loop: fronts, core, engines' client and list sources. What the daemon runs, and
// what an embedding program may run as well; two of them share nothing.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "discovery/registry.h"
#include "engines/fleet.h"
#include "fronts/health.h"
#include "fronts/router_side.h"
#include "gannetcourse/router.h"
#include "grpc/server.h"

namespace gannetcourse::node {

class Node final : private fronts::RouterSide, private engines::Sink {
 public:
  struct Hooks {
    std::function<void(const router::Record&)> record;  // each decision; must not block
    std::function<void(const std::string& package, const std::string& level, const std::string& text)> log;
    // For tests that prove the auditors: may change the commands before they are carried out.
    std::function<void(Node&, std::vector<router::Command>&)> tamper;
  };

  // Listens, reads its lists and starts. `start` tells apart the node's lives (request names carry it).
  // Throws std::system_error where it cannot listen, config::Faults where the fleet file is unusable.
  Node(net::Loop& loop, config::NodeSettings settings, const std::string& start, Hooks hooks);
  ~Node() override;

  std::uint16_t port() const { return server_.port(); }
  const router::Core& core() const { return core_; }
  std::size_t engines() const { return merged_.engines().size(); }

  // Takes what may change in service, and reads the fleet file again. Throws config::Faults, or
  // std::invalid_argument naming what needs a restart; then everything stays as it was.
  void reload(const config::NodeSettings& settings);

  // Nothing new; `done` is told once every taken request has its answer and all that was held is let go.
  void drain(std::function<void()> done);

  // For tampering tests.
  void carryOut(const router::Command& command);
  void answerTwice(router::RequestKey request);
  net::Loop& loop() override { return loop_; }
  const config::NodeSettings& settings() const override { return settings_; }
  const resume::Sealer& sealer() const override { return sealer_; }

 private:
  // ---- fronts::RouterSide ----
  void open(router::RequestKey key, router::Arrival arrival,
            std::shared_ptr<fronts::ClientSide> client) override;
  router::RequestKey nextKey() override { return ++lastKey_; }
  void clientGone(router::RequestKey request) override;
  void pause(router::RequestKey request, bool paused) override;
  bool serving() const override;

  // ---- engines::Sink ----
  void readEnded(router::CallKey call, std::string state, double kept,
                 std::optional<LoadReport> load) override;
  void token(router::CallKey call, std::uint32_t index, std::string text) override;
  void callEnded(router::CallKey call, Outcome outcome, double kept, std::optional<LoadReport> load,
                 const std::string& why, recovery::Ending ending) override;
  void fenced(router::RequestKey request, int attempt) override;
  void goesAway(ServerId engine) override;
  void probeEnded(ServerId engine, Outcome outcome, Duration elapsed,
                  std::optional<LoadReport> load) override;
  void seatAnswered(router::RequestKey request, ServerId engine, bool held) override;

  void takeList(const discovery::EngineList& list);
  void loadLists();
  void run();  // carries out what the core has to say, and sets its timer
  void checkDrained();
  void log(const char* package, const char* level, const std::string& text);

  net::Loop& loop_;
  bool ending_ = false;  // being destroyed: calls that end with the server are nobody's any more
  config::NodeSettings settings_;
  resume::Sealer sealer_;
  Hooks hooks_;
  discovery::Translator translator_;
  router::Core core_;
  engines::Fleet fleet_;
  grpc::Server server_;
  fronts::Health health_;
  discovery::Merged merged_;
  discovery::SavedList saved_;
  std::unique_ptr<discovery::RegistryWatch> registry_;
  std::unordered_map<router::RequestKey, std::shared_ptr<fronts::ClientSide>> clients_;
  std::vector<router::Command> commands_;  // being carried out
  std::function<void()> drained_;
  router::RequestKey lastKey_ = 0;
  net::TimerId timer_ = 0;
  Instant timerAt_{};
  bool running_ = false;
};

}  // namespace gannetcourse::node
