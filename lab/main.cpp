#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "bench.h"
#include "config/xml.h"
#include "fault_search.h"
#include "scenario_runner.h"

namespace {

using namespace gannetcourse;

std::string pathBesideThisProgram(const std::string& name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

void printService(const lab::Scenario& scenario, lab::ServiceCounts service) {
  const auto at = [](std::vector<double>& times, double share) {
    std::sort(times.begin(), times.end());
    return times.empty() ? 0.0
                         : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
  };
  auto &first = service.firstTokens, &gaps = service.longestGaps;
  std::cerr << "asks " << service.requests << ", first token in time " << service.inTime << ", tokens "
            << service.tokens << ", TTFT of served p50 " << at(first, 0.5) << " s, p99 " << at(first, 0.99)
            << " s, longest gap in an answer p50 " << at(gaps, 0.5) << " s, p99 " << at(gaps, 0.99)
            << " s, most " << at(gaps, 1) << " s (simulated servers)\n";
  for (std::size_t i = 0; i < scenario.classes.size(); ++i) {
    std::cerr << "  class " << scenario.classes[i].name << ": " << service.inTimeByClass[i] << " of "
              << service.requestsByClass[i] << " in time\n";
  }
}

int runScenarioFile(const std::string& file, const lab::ScenarioOptions& options) {
  const lab::Scenario scenario = lab::loadScenario(file);
  const lab::ScenarioResult result = lab::runScenario(scenario, options, std::cerr);
  for (const std::string& finding : result.findings) std::cerr << "finding: " << finding << '\n';
  printService(scenario, result.serviceCounts);
  if (result.enginesOverloaded > 0) std::cerr << result.enginesOverloaded << " engines fell over when cold\n";
  if (!result.nodesEndedWell) std::cerr << "a node did not end well\n";
  std::cout << result.counts.line() << " " << result.counts.streams() << std::endl;
  return result.counts.clean() && result.nodesEndedWell ? 0 : 1;
}

struct SearchOptions {
  lab::FaultSearchOptions options;
  double lease = 2;
  std::uint64_t seed = 1, lives = 0;
};

int searchForFaults(SearchOptions o) {
  o.options.recovery.engineLease = Duration(o.lease);
  const lab::FaultSearchResult found =
      o.lives > 0 ? lab::searchRandomly(o.options, o.seed, o.lives) : lab::searchAllOrders(o.options);
  for (const std::string& fault : found.violations) std::cout << "fault: " << fault << '\n';
  std::cout << "explored paths=" << found.paths << " steps=" << found.steps
            << " faults=" << found.violations.size() << std::endl;
  return found.violations.empty() ? 0 : 1;
}

void addScenarioOptions(CLI::App& command, std::string& file, lab::ScenarioOptions& options) {
  command.add_option("file", file, "day script (XML)")->required();
  command.add_option("--seed", options.seed, "another seed than the script's");
  command.add_option("--nodes", options.nodeCount, "another number of nodes")->check(CLI::Range(1, 64));
  command.add_flag("--in-process", options.inProcess,
                   "the library in this process instead of node processes");
  command.add_option("--node-binary", options.nodeBinary, "the daemon to run");
  command.add_option("--keep", options.folder, "folder in which nodes' settings and logs stay");
  command.add_option("--break", options.seededFault,
                     "put a fault into the nodes, to prove the audit (with --in-process)");
  command.add_flag("--no-recovery", options.noRecovery, "do not continue streams that lose their writer");
  command.add_flag("--quiet", options.quiet, "no progress");
}

void addBenchOptions(CLI::App& command, lab::BenchOptions& options) {
  command.add_option("--seconds", options.seconds, "of each measurement")->check(CLI::Range(0.1, 60.0));
  command.add_option("--rounds", options.rounds, "of all measurements in turn")->check(CLI::Range(1, 20));
  command.add_flag("!--no-memory", options.memory, "leave out the memory of open streams");
}

void addSearchOptions(CLI::App& command, SearchOptions& search) {
  command.add_option("--depth", search.options.depth, "events after the first token")
      ->check(CLI::Range(1, 1000));
  command.add_option("--lives", search.lives, "random lives instead of every order, one for each seed");
  command.add_option("--seed", search.seed, "of the first life");
  command.add_option("--streams", search.options.streams, "of a life")->check(CLI::Range(1, 50));
  command.add_option("--lease", search.lease,
                     "what the core takes engines' lease of 2 s for: less is a fault");
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("gannetcourse-lab: stand-in engines, load and audit for gannetcourse");
  app.require_subcommand(1);
  CLI::App* const day = app.add_subcommand("day", "play a scripted day on stand-ins and audit it");
  std::string file;
  lab::ScenarioOptions scenarioOptions;
  scenarioOptions.nodeBinary = pathBesideThisProgram("gannetcourse");
  addScenarioOptions(*day, file, scenarioOptions);
  CLI::App* const bench =
      app.add_subcommand("bench", "measure what the node costs, as ratios within one run");
  lab::BenchOptions benchOptions;
  benchOptions.nodeBinary = scenarioOptions.nodeBinary;
  addBenchOptions(*bench, benchOptions);
  CLI::App* const explore =
      app.add_subcommand("explore", "drive the core through every order of a stream's events");
  SearchOptions search;
  addSearchOptions(*explore, search);
  CLI11_PARSE(app, argc, argv);
  try {
    if (explore->parsed()) return searchForFaults(search);
    if (day->parsed()) return runScenarioFile(file, scenarioOptions);
    lab::bench(benchOptions, std::cout);
    return 0;
  } catch (const config::InvalidFile& invalid) {
    for (const config::Fault& fault : invalid.faults()) std::cerr << fault.text() << '\n';
  } catch (const std::exception& error) {
    std::cerr << "gannetcourse-lab: " << error.what() << '\n';
  }
  return 2;
}
