#include "scenario_runner.h"

#include <algorithm>
#include <filesystem>
#include <ostream>

#include "fake_engine.h"
#include "fake_registry.h"
#include "fault_injector.h"
#include "seeded_fault.h"

namespace gannetcourse::lab {
namespace {

const Duration kModelStep{0.005};     // interval at which the engine models advance
const Duration kEngineListWait{0.3};  // time for the nodes to receive the engine list
constexpr double kDrainTimeout = 15;  // seconds; nodes that have not ended by then are killed
constexpr double kReleaseWait = 1.5;  // seconds that the lab waits at the end for the last releases

class ScenarioFolder {
 public:
  explicit ScenarioFolder(const std::string& keep) : kept_(!keep.empty()) {
    if (kept_) {
      path_ = keep;
      std::filesystem::create_directories(path_);
      return;
    }
    std::string name = (std::filesystem::temp_directory_path() / "gannetcourse-lab-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
    path_ = name;
  }
  ~ScenarioFolder() {
    std::error_code ignored;
    if (!kept_) std::filesystem::remove_all(path_, ignored);
  }
  ScenarioFolder(const ScenarioFolder&) = delete;
  ScenarioFolder& operator=(const ScenarioFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool kept_;
};

class ScenarioRun {
 public:
  ScenarioRun(const Scenario& scenario, const ScenarioOptions& options, std::ostream& progress)
      : scenario_(scenario),
        options_(options),
        progress_(progress),
        ledger_(scenario.auditRules()),
        random_(scenario.seed),
        testbed_{loop_,
                 ledger_,
                 random_,
                 scenario.zones,
                 scenario.sameCellRate,
                 scenario.otherCellRate,
                 scenario.zoneFactor,
                 1,
                 {},
                 {},
                 {},
                 scenario.slowStartOverloadFactor,
                 scenario.slowStartWindow,
                 {},
                 600},
        registry_(testbed_),
        clients_(testbed_, scenario_, scenario.seed * 7919 + 17),
        injector_(testbed_, scenario_, engines_, registry_, clients_),
        folder_(options.folder) {
    double shares = 0, prefillTokens = 0;
    for (const ScenarioClass& c : scenario_.classes) {
      shares += c.trafficShare;
      prefillTokens += c.trafficShare * (c.promptTokens + kPrefillOverheadTokens);
      testbed_.classes.push_back(c.name);
      testbed_.meanPrompt.push_back(c.promptTokens * (c.turns + 1) / 2 + c.sharedTokens * c.sharedShare);
    }
    if (shares > 0) testbed_.meanUncachedPrefill = prefillTokens / shares;
  }

  ScenarioResult run() {
    startEngines();
    startNodes();
    waitFor(kEngineListWait.count(), [] { return false; });
    injector_.onProgress = [this](const std::string& text) { printProgress(text); };
    injector_.schedule();
    const double from = testbed_.now();
    clients_.start(from + scenario_.duration);
    waitFor(scenario_.duration, [this] { return hasNodeEnded(); });
    double longestDeadline = 0;
    for (const ScenarioClass& c : scenario_.classes) longestDeadline = std::max(longestDeadline, c.deadline);
    waitFor(longestDeadline + 6, [this] { return clients_.open() == 0; });
    drainNodes();
    waitFor(kReleaseWait, [this] { return ledger_.openAttempts() == 0 && ledger_.openStates() == 0; });
    for (const auto& engine : engines_) engine->poll();
    ScenarioResult result;
    result.counts = ledger_.finish(testbed_.now());
    result.serviceCounts = clients_.service();
    result.findings = ledger_.findings();
    for (const auto& engine : engines_) result.enginesOverloaded += engine->hasFailedFromOverload();
    for (const auto& node : nodes_)
      result.nodesExitedCleanly = result.nodesExitedCleanly && node->exitedCleanly();
    return result;
  }

 private:
  void printProgress(const std::string& text) {
    if (!options_.quiet) progress_ << text << std::endl;
  }

  void startEngines() {
    for (const EngineSpec& spec : scenario_.engines) {
      engines_.push_back(std::make_unique<FakeEngine>(testbed_, spec));
      registry_.set(*engines_.back(), v1::EngineEntry::SERVING);
    }
    stepEngines(testbed_.now());
  }

  void stepEngines(double last) {
    const double now = testbed_.now();
    for (std::size_t i = 0; i < engines_.size(); ++i) engines_[i]->step(now, now - last);
    loop_.runAfter(kModelStep, [this, now] { stepEngines(now); });
  }

  void startNodes() {
    for (std::uint32_t i = 0; i < scenario_.nodeCount; ++i) {
      const std::string name = "node-" + std::to_string(i);
      const std::string settings = scenario_.nodeSettings(i, registry_.address());
      nodes_.push_back(options_.inProcess
                           ? startInProcess(name, settings, makeFaultyDriver(options_.seededFault, scenario_))
                           : startProcess(options_.nodeBinary, folder_.path(), name, settings));
      clients_.addNode(scenario_.zones[i % scenario_.zones.size()], {"127.0.0.1", nodes_.back()->port()});
    }
    printProgress(std::to_string(scenario_.nodeCount) +
                  (options_.inProcess ? " nodes in process, " : " nodes, ") +
                  std::to_string(scenario_.engines.size()) + " fake engines, " +
                  std::to_string(scenario_.faults.size()) + " faults");
  }

  bool hasNodeEnded() {
    return std::any_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->ended(); });
  }

  void drainNodes() {
    for (const auto& node : nodes_) node->drain();
    const auto allEnded = [this] {
      return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->ended(); });
    };
    waitFor(kDrainTimeout, allEnded);
    for (const auto& node : nodes_) {
      if (!node->ended()) node->kill();
    }
  }

  // Runs the loop until `done` returns true, but at most for `seconds`.
  template <class Done>
  void waitFor(double seconds, const Done& done) {
    const double end = testbed_.now() + seconds;
    double reportedAt = testbed_.now();
    while (testbed_.now() < end && !done()) {
      loop_.runOnce(Duration(0.05));
      if (testbed_.now() - reportedAt < 5) continue;
      reportedAt = testbed_.now();
      printProgress("  " + std::to_string(static_cast<int>(end - reportedAt)) + " s left at most, " +
                    std::to_string(clients_.open()) + " requests open");
    }
  }

  const Scenario& scenario_;
  const ScenarioOptions& options_;
  std::ostream& progress_;
  net::Loop loop_;
  Ledger ledger_;
  std::mt19937_64 random_;
  Testbed testbed_;
  FaultInjector::Engines engines_;
  FakeRegistry registry_;
  Clients clients_;
  FaultInjector injector_;
  ScenarioFolder folder_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};

}  // namespace

ScenarioResult runScenario(Scenario scenario, const ScenarioOptions& options, std::ostream& progress) {
  if (options.seed) scenario.seed = *options.seed;
  if (options.nodeCount) scenario.nodeCount = *options.nodeCount;
  if (options.noRecovery) scenario.recoveryEnabled = false;
  return ScenarioRun(scenario, options, progress).run();
}

}  // namespace gannetcourse::lab
