#include "play.h"

#include <algorithm>
#include <filesystem>
#include <ostream>

#include "faults.h"
#include "registry_stand_in.h"
#include "stand_in.h"
#include "troubles.h"

namespace gannetcourse::lab {
namespace {

const Duration kStep{0.005};         // of the engines' models
const Duration kWarmUp{0.3};         // nodes hear of the fleet
constexpr double kDrainWithin = 15;  // seconds in which nodes end after the day
constexpr double kSettle = 1.5;      // what was let go at the end arrives

class Folder {
 public:
  explicit Folder(const std::string& keep) : kept_(!keep.empty()) {
    if (kept_) {
      path_ = keep;
      std::filesystem::create_directories(path_);
      return;
    }
    std::string name = (std::filesystem::temp_directory_path() / "gannetcourse-lab-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no temporary folder");
    path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    if (!kept_) std::filesystem::remove_all(path_, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool kept_;
};

class Play {
 public:
  Play(const Day& day, const PlayOptions& options, std::ostream& progress)
      : day_(day),
        options_(options),
        progress_(progress),
        ledger_(day.auditRules()),
        random_(day.seed),
        fabric_{loop_,          ledger_, random_, day.zones, day.nearRate, day.farRate,
                day.zoneFactor, 1,       {},      {},        {},           day.overloadFactor,
                day.window,     {},      600},
        registry_(fabric_),
        clients_(fabric_, day_, day.seed * 7919 + 17),
        troubles_(fabric_, day_, engines_, registry_, clients_),
        folder_(options.keepFolder) {
    double shares = 0, fresh = 0;
    for (const DayClass& c : day_.classes) {
      shares += c.share;
      fresh += c.share * (c.promptTokens + kReadOverhead);
      fabric_.classes.push_back(c.name);
      fabric_.meanPrompt.push_back(c.promptTokens * (c.turns + 1) / 2 + c.sharedTokens * c.sharedShare);
    }
    if (shares > 0) fabric_.meanFresh = fresh / shares;
  }

  PlayResult run() {
    startFleet();
    startNodes();
    waitFor(kWarmUp.count(), [] { return false; });
    troubles_.say = [this](const std::string& text) { say(text); };
    troubles_.schedule();
    const double from = fabric_.now();
    clients_.start(from + day_.length);
    waitFor(day_.length, [this] { return nodeDied(); });
    double longest = 0;
    for (const DayClass& c : day_.classes) longest = std::max(longest, c.deadline);
    waitFor(longest + 6, [this] { return clients_.open() == 0; });
    drainNodes();
    waitFor(kSettle, [this] { return ledger_.openAttempts() == 0 && ledger_.heldStates() == 0; });
    for (const auto& engine : engines_) engine->poll();
    PlayResult result;
    result.counts = ledger_.finish(fabric_.now());
    result.service = clients_.service();
    result.findings = ledger_.findings();
    for (const auto& engine : engines_) result.fallen += engine->fallen();
    for (const auto& node : nodes_) result.nodesEndedWell = result.nodesEndedWell && node->endedWell();
    return result;
  }

 private:
  void say(const std::string& text) {
    if (!options_.quiet) progress_ << text << std::endl;
  }

  void startFleet() {
    for (const EngineSpec& spec : day_.engines) {
      engines_.push_back(std::make_unique<StandIn>(fabric_, spec));
      registry_.set(*engines_.back(), v1::EngineEntry::SERVING);
    }
    stepEngines(fabric_.now());
  }

  void stepEngines(double last) {
    const double now = fabric_.now();
    for (std::size_t i = 0; i < engines_.size(); ++i) engines_[i]->step(now, now - last);
    loop_.runAfter(kStep, [this, now] { stepEngines(now); });
  }

  void startNodes() {
    for (std::uint32_t i = 0; i < day_.nodes; ++i) {
      const std::string name = "node-" + std::to_string(i);
      const std::string settings = day_.nodeSettings(i, registry_.address());
      nodes_.push_back(options_.inProcess
                           ? startInProcess(name, settings, faultyDriver(options_.breakage, day_))
                           : startProcess(options_.nodeBinary, folder_.path(), name, settings));
      clients_.addNode(day_.zones[i % day_.zones.size()], {"127.0.0.1", nodes_.back()->port()});
    }
    say(std::to_string(day_.nodes) + (options_.inProcess ? " nodes in process, " : " nodes, ") +
        std::to_string(day_.engines.size()) + " stand-in engines, " + std::to_string(day_.troubles.size()) +
        " troubles");
  }

  bool nodeDied() {
    return std::any_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->ended(); });
  }

  void drainNodes() {
    for (const auto& node : nodes_) node->drain();
    const auto all = [this] {
      return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& node) { return node->ended(); });
    };
    waitFor(kDrainWithin, all);
    for (const auto& node : nodes_) {
      if (!node->ended()) node->kill();
    }
  }

  // Runs the loop for `seconds`, or until `done`.
  template <class Done>
  void waitFor(double seconds, const Done& done) {
    const double end = fabric_.now() + seconds;
    double told = fabric_.now();
    while (fabric_.now() < end && !done()) {
      loop_.runOnce(Duration(0.05));
      if (fabric_.now() - told < 5) continue;
      told = fabric_.now();
      say("  " + std::to_string(static_cast<int>(end - told)) + " s left at most, " +
          std::to_string(clients_.open()) + " asks open");
    }
  }

  const Day& day_;
  const PlayOptions& options_;
  std::ostream& progress_;
  net::Loop loop_;
  Ledger ledger_;
  std::mt19937_64 random_;
  Fabric fabric_;
  Troubles::Engines engines_;
  RegistryStandIn registry_;
  Clients clients_;
  Troubles troubles_;
  Folder folder_;
  std::vector<std::unique_ptr<NodeHost>> nodes_;
};

}  // namespace

PlayResult play(Day day, const PlayOptions& options, std::ostream& progress) {
  if (options.seed) day.seed = *options.seed;
  if (options.nodes) day.nodes = *options.nodes;
  if (options.noRecovery) day.recovery = false;
  return Play(day, options, progress).run();
}

}  // namespace gannetcourse::lab
