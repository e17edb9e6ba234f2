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

std::string pathNextToExecutable(const std::string& name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

void printService(const lab::Scenario& scenario, lab::ServiceCounts service) {
  const auto quantile = [](std::vector<double>& times, double share) {
    std::sort(times.begin(), times.end());
    return times.empty() ? 0.0
                         : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
  };
  auto &first = service.firstTokens, &gaps = service.longestGaps;
  std::cerr << "requests " << service.requests << ", first token in time " << service.inTime << ", tokens "
            << service.tokens << ", TTFT of served requests p50 " << quantile(first, 0.5) << " s, p99 "
            << quantile(first, 0.99) << " s, longest gap between tokens p50 " << quantile(gaps, 0.5)
            << " s, p99 " << quantile(gaps, 0.99) << " s, maximum " << quantile(gaps, 1)
            << " s (simulated servers)\n";
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
  if (result.enginesOverloaded > 0)
    std::cerr << result.enginesOverloaded << " engines failed from overload in slow start\n";
  if (!result.nodesExitedCleanly) std::cerr << "a node crashed, was killed or exited with an error\n";
  std::cout << result.counts.summary() << " " << result.counts.streamSummary() << std::endl;
  return result.counts.clean() && result.nodesExitedCleanly ? 0 : 1;
}

struct SearchOptions {
  lab::FaultSearchOptions options;
  double lease = 2;
  std::uint64_t seed = 1, randomOrders = 0;
};

int searchForFaults(SearchOptions o) {
  o.options.recovery.engineLease = Duration(o.lease);
  const lab::FaultSearchResult result = o.randomOrders > 0
                                            ? lab::searchRandomly(o.options, o.seed, o.randomOrders)
                                            : lab::searchAllOrders(o.options);
  for (const std::string& fault : result.violations) std::cout << "fault: " << fault << '\n';
  std::cout << "explored paths=" << result.paths << " steps=" << result.steps
            << " faults=" << result.violations.size() << std::endl;
  return result.violations.empty() ? 0 : 1;
}

void addScenarioOptions(CLI::App& command, std::string& file, lab::ScenarioOptions& options) {
  command.add_option("file", file, "scenario file (XML)")->required();
  command.add_option("--seed", options.seed, "overrides the scenario's seed");
  command.add_option("--nodes", options.nodeCount, "overrides the scenario's number of nodes")
      ->check(CLI::Range(1, 64));
  command.add_flag("--in-process", options.inProcess, "run the nodes in this process instead of as daemons");
  command.add_option("--node-binary", options.nodeBinary, "path of the daemon");
  command.add_option("--keep", options.folder, "folder in which the nodes' settings and logs are kept");
  command.add_option("--break", options.seededFault,
                     "put a fault into the nodes, to test the audit (with --in-process)");
  command.add_flag("--no-recovery", options.noRecovery,
                   "do not continue streams that lose their decode engine");
  command.add_flag("--quiet", options.quiet, "print no progress");
}

void addBenchOptions(CLI::App& command, lab::BenchOptions& options) {
  command.add_option("--seconds", options.seconds, "duration of each measurement")
      ->check(CLI::Range(0.1, 60.0));
  command.add_option("--rounds", options.rounds, "repetitions of all measurements")->check(CLI::Range(1, 20));
  command.add_flag("!--no-memory", options.memory, "do not measure the memory of open streams");
}

void addSearchOptions(CLI::App& command, SearchOptions& search) {
  command.add_option("--depth", search.options.depth, "events after the first token")
      ->check(CLI::Range(1, 1000));
  command.add_option("--lives", search.randomOrders,
                     "run this many random orders, each with its own seed, instead of every order");
  command.add_option("--seed", search.seed, "seed of the first random order");
  command.add_option("--streams", search.options.streams, "streams in a random order")
      ->check(CLI::Range(1, 50));
  command.add_option(
      "--lease", search.lease,
      "lease in seconds that the core assumes; the engines' real lease is 2 s, so a lower value is a fault");
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("gannetcourse-lab: fake engines, load and audit for gannetcourse");
  app.require_subcommand(1);
  CLI::App* const day = app.add_subcommand("day", "run a scenario with fake engines and audit it");
  std::string file;
  lab::ScenarioOptions scenarioOptions;
  scenarioOptions.nodeBinary = pathNextToExecutable("gannetcourse");
  addScenarioOptions(*day, file, scenarioOptions);
  CLI::App* const bench = app.add_subcommand(
      "bench", "compare the node's throughput and latency with a relay and with direct calls to the engines");
  lab::BenchOptions benchOptions;
  benchOptions.nodeBinary = scenarioOptions.nodeBinary;
  addBenchOptions(*bench, benchOptions);
  CLI::App* const explore =
      app.add_subcommand("explore", "run the core through every order of a stream's events");
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
