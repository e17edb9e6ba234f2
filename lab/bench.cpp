#include "bench.h"

#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <thread>
#include <vector>

#include "core_cost.h"
#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/engine.pb.h"
#include "node/node.h"
#include "node_process.h"
#include "relay.h"

namespace gannetcourse::lab {
namespace {

constexpr int kPrefillEngines = 2, kDecodeEngines = 2;
constexpr int kMaxStreams = 20000;    // streams per connection
constexpr int kCoreRequests = 20000;  // requests of the measurement without a network

// An event loop on its own thread. Owns the object that `make` creates on that thread.
class LoopThread {
 public:
  explicit LoopThread(std::function<std::shared_ptr<void>(net::Loop&)> make) {
    std::promise<void> started;
    auto ready = started.get_future();
    thread_ = std::thread([this, &started, make = std::move(make)] {
      net::Loop loop;
      loop_ = &loop;
      std::shared_ptr<void> object = make(loop);
      started.set_value();
      loop.run();
      object.reset();
    });
    ready.get();
  }
  ~LoopThread() {
    loop_->post([this] { loop_->stop(); });
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  // CPU time that the thread has used, in seconds.
  double cpu() {
    std::promise<double> result;
    loop_->post([&result] {
      timespec used{};
      clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
      result.set_value(static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec));
    });
    return result.get_future().get();
  }

 private:
  net::Loop* loop_ = nullptr;
  std::thread thread_;
};

// An engine that responds immediately. With `holdOpen`, it sends one token and keeps the stream open.
struct ImmediateEngine {
  ImmediateEngine(net::Loop& loop, int tokens, bool holdOpen) : server(loop, net::Endpoint{}) {
    server.handle("/gannetcourse.v1.Engine/Prefill",
                  [](const std::shared_ptr<grpc::ServerCall>& call, std::string_view) {
                    v1::PrefillReply reply;
                    reply.set_state("s");
                    call->send(reply.SerializeAsString());
                    call->finish({});
                  });
    server.handle("/gannetcourse.v1.Engine/Decode",
                  [tokens, holdOpen](const std::shared_ptr<grpc::ServerCall>& call, std::string_view) {
                    v1::DecodeToken token;
                    token.set_text("reading ");
                    for (int i = 0; i < (holdOpen ? 1 : tokens); ++i) {
                      token.set_index(static_cast<std::uint32_t>(i));
                      call->send(token.SerializeAsString());
                    }
                    if (!holdOpen) call->finish({});
                  });
    server.handle("/gannetcourse.v1.Engine/Release",
                  [](const std::shared_ptr<grpc::ServerCall>& call, std::string_view) {
                    call->send("");
                    call->finish({});
                  });
  }
  grpc::Server server;
};

struct Engines {
  Engines(int tokens, bool holdOpen)
      : host([&](net::Loop& loop) {
          auto all = std::make_shared<std::vector<std::unique_ptr<ImmediateEngine>>>();
          for (int i = 0; i < kPrefillEngines + kDecodeEngines; ++i) {
            all->push_back(std::make_unique<ImmediateEngine>(loop, tokens, holdOpen));
            ports.push_back({"127.0.0.1", all->back()->server.port()});
          }
          return all;
        }) {}
  std::vector<net::Endpoint> prefillEngines() const {
    return {ports.begin(), ports.begin() + kPrefillEngines};
  }
  std::vector<net::Endpoint> decodeEngines() const { return {ports.begin() + kPrefillEngines, ports.end()}; }
  std::string fleet() const {
    std::string text = "<fleet xmlns=\"urn:gannetcourse:fleet:1\">";
    for (int i = 0; i < kPrefillEngines + kDecodeEngines; ++i) {
      text += "<engine id=\"" + std::to_string(i + 1) + "\" address=\"" +
              ports[static_cast<std::size_t>(i)].text() + "\" role=\"" +
              (i < kPrefillEngines ? "prefill" : "decode") +
              "\" zone=\"north\" memory-tokens=\"400000000\"/>";
    }
    return text + "</fleet>";
  }
  std::vector<net::Endpoint> ports;
  LoopThread host;
};

std::string settingsFor(const std::string& fleetFile) {
  return "<gannetcourse xmlns=\"urn:gannetcourse:settings:1\"><node name=\"bench\" zone=\"north\"/>"
         "<listen grpc=\"127.0.0.1:0\" max-streams=\"20000\"/><zones><zone name=\"north\"/></zones>"
         "<classes><class name=\"query\" aim=\"2s\" token-aim=\"60ms\"/></classes>"
         // The streams of the memory measurement receive no tokens on purpose; the node must not count them
         // as lost.
         "<engines connections=\"16\"/><recovery silence-at-least=\"10min\"/>"
         "<fleet file=\"" +
         fleetFile + "\"/><log level=\"warn\"/></gannetcourse>";
}

// The results of one load run.
struct Load {
  std::uint64_t requests = 0, tokens = 0, failures = 0;
  std::vector<double> firstTokens;
};

v1::GenerateRequest makeRequest(std::uint64_t number, int tokens) {
  v1::GenerateRequest request;
  request.set_request_class("query");
  request.set_session("s" + std::to_string(number % 997));
  request.set_prompt("why is this reading so high?");
  request.set_prompt_tokens(200);
  request.set_max_output_tokens(static_cast<std::uint32_t>(tokens));
  return request;
}

// Generates load in a closed loop: each request that ends is followed by a new one.
class Loader {
 public:
  Loader(const std::vector<net::Endpoint>& prefillEngines, const std::vector<net::Endpoint>& decodeEngines,
         int tokens)
      : tokens_(tokens) {
    grpc::ChannelOptions options;
    options.http2.maxStreams = kMaxStreams;
    for (const auto& to : prefillEngines)
      prefillChannels_.push_back(std::make_unique<grpc::Channel>(loop_, to, options));
    for (const auto& to : decodeEngines)
      decodeChannels_.push_back(std::make_unique<grpc::Channel>(loop_, to, options));
  }

  // Keeps `concurrency` requests in flight. If there are prefill endpoints, they and the decode endpoints are
  // engines, which are called directly. Otherwise, the decode endpoints are nodes or relays.
  Load run(double seconds, int concurrency) {
    load_ = {};
    running_ = true;
    for (int i = 0; i < concurrency; ++i) next();
    const Instant end = net::monotonicNow() + Duration(seconds);
    while (net::monotonicNow() < end) loop_.runOnce(Duration(0.01));
    running_ = false;
    while (open_ > 0) loop_.runOnce(Duration(0.01));
    return load_;
  }

 private:
  void next() {
    ++open_;
    const double from = net::monotonicNow().time_since_epoch().count();
    if (prefillChannels_.empty()) {
      stream("/gannetcourse.v1.Chat/Generate", makeRequest(++number_, tokens_).SerializeAsString(), from);
      return;
    }
    v1::PrefillRequest prefill;
    prefill.set_prompt("why is this reading so high?");
    const auto call = prefillChannels_[++number_ % prefillChannels_.size()]->start(
        "/gannetcourse.v1.Engine/Prefill", prefill.SerializeAsString(), Duration(30));
    call->onMessage = [this, from](std::string_view) {
      stream("/gannetcourse.v1.Engine/Decode", v1::DecodeRequest().SerializeAsString(), from);
    };
    call->onEnd = [this](const grpc::CallEnd& end) {
      if (end.status.code != grpc::Code::kOk) ended(end);
    };
  }

  void stream(const std::string& method, const std::string& message, double from) {
    const auto call = decodeChannels_[number_ % decodeChannels_.size()]->start(method, message, Duration(30));
    call->onMessage = [this, from, first = true](std::string_view) mutable {
      ++load_.tokens;
      if (std::exchange(first, false))
        load_.firstTokens.push_back(net::monotonicNow().time_since_epoch().count() - from);
    };
    call->onEnd = [this](const grpc::CallEnd& end) { ended(end); };
  }

  void ended(const grpc::CallEnd& end) {
    --open_;
    ++load_.requests;
    load_.failures += end.status.code != grpc::Code::kOk;
    if (running_) next();
  }

  net::Loop loop_;
  int tokens_;
  std::vector<std::unique_ptr<grpc::Channel>> prefillChannels_, decodeChannels_;
  Load load_;
  bool running_ = false;
  int open_ = 0;
  std::uint64_t number_ = 0;
};

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

struct Measurements {
  std::vector<double> tokensPerCpu, requestsPerSecond, cpuPerRequest, p50, p99;
};

void measure(const BenchOptions& o, Loader& loader, LoopThread* serverThread, Measurements& to) {
  loader.run(0.2, o.concurrency);  // warm-up
  const double before = serverThread == nullptr ? 0 : serverThread->cpu();
  const Load busy = loader.run(o.seconds, o.concurrency);
  const double used = serverThread == nullptr ? 0 : serverThread->cpu() - before;
  const Load idle = loader.run(o.seconds / 2, 1);
  if (busy.failures + idle.failures > 0) throw std::runtime_error("requests failed during a measurement");
  to.requestsPerSecond.push_back(static_cast<double>(busy.requests) / o.seconds);
  if (serverThread != nullptr) {
    to.tokensPerCpu.push_back(static_cast<double>(busy.tokens) / used);
    to.cpuPerRequest.push_back(used / static_cast<double>(busy.requests));
  }
  to.p50.push_back(quantile(idle.firstTokens, 0.5));
  to.p99.push_back(quantile(idle.firstTokens, 0.99));
}

double residentKiB(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6));
  }
  return 0;
}

// A client on this thread that keeps streams open at a node.
class OpenStreams {
 public:
  OpenStreams(std::uint16_t port, int tokens) : tokens_(tokens) {
    grpc::ChannelOptions options;
    options.http2.maxStreams = kMaxStreams;
    options.keepaliveInterval = Duration(0);
    for (int i = 0; i < kChannels; ++i)
      channels_.push_back(std::make_unique<grpc::Channel>(loop_, net::Endpoint{"127.0.0.1", port}, options));
  }
  ~OpenStreams() {
    for (const auto& call : calls_) call->onEnd = nullptr;
  }
  OpenStreams(const OpenStreams&) = delete;
  OpenStreams& operator=(const OpenStreams&) = delete;

  // Opens `count` more streams and waits, at most 30 s, until all have begun or ended.
  void open(int count) {
    for (int i = 0; i < count; ++i) {
      const auto call = channels_[calls_.size() % channels_.size()]->start(
          "/gannetcourse.v1.Chat/Generate", makeRequest(calls_.size(), tokens_).SerializeAsString(),
          Duration(300));
      call->onMessage = [this](std::string_view) { ++begun_; };
      call->onEnd = [this](const grpc::CallEnd&) { ++ended_; };
      calls_.push_back(call);
    }
    const Instant end = net::monotonicNow() + Duration(30);
    while (begun_ + ended_ < static_cast<int>(calls_.size()) && net::monotonicNow() < end)
      loop_.runOnce(Duration(0.02));
  }
  int begun() const { return begun_; }

 private:
  static constexpr int kChannels = 16;

  int tokens_;
  net::Loop loop_;
  std::vector<std::unique_ptr<grpc::Channel>> channels_;
  std::vector<std::shared_ptr<grpc::ClientCall>> calls_;
  int begun_ = 0, ended_ = 0;
};

// Memory of a node process per open stream, in KiB, with `streams` open.
double memoryPerStream(const BenchOptions& options, int streams, const std::string& folder) {
  Engines engines(options.tokens, true);
  const std::string engineList = folder + "/fleet.xml";
  std::ofstream(engineList) << engines.fleet();
  const auto node = startProcess(options.nodeBinary, folder, "node", settingsFor(engineList));
  OpenStreams open(node->port(), options.tokens);
  open.open(50);
  const double before = residentKiB(node->pid());
  const int begunBefore = open.begun();
  for (int left = streams; left > 0; left -= 100) open.open(std::min(left, 100));
  const double growth = residentKiB(node->pid()) - before;
  const int opened = open.begun() - begunBefore;
  node->kill();
  if (opened < streams * 9 / 10)
    throw std::runtime_error("only " + std::to_string(opened) +
                             " streams were opened, expected at least 90 %");
  return growth / opened;
}

struct BenchMeasurements {
  Measurements direct, relayed, routed;
};

BenchMeasurements measureAll(const BenchOptions& options, const std::string& folder) {
  Engines engines(options.tokens, false);
  std::ofstream(folder + "/fleet.xml") << engines.fleet();
  net::Endpoint relayAddress, nodeAddress;
  LoopThread relay([&](net::Loop& loop) {
    auto made = std::make_shared<Relay>(loop, engines.prefillEngines(), engines.decodeEngines());
    relayAddress = {"127.0.0.1", made->port()};
    return made;
  });
  LoopThread node([&](net::Loop& loop) {
    auto made =
        std::make_shared<node::Node>(loop, config::parseSettings(settingsFor(folder + "/fleet.xml"), "bench"),
                                     "bench", node::Node::Hooks{});
    nodeAddress = {"127.0.0.1", made->port()};
    return made;
  });
  Loader toEngines(engines.prefillEngines(), engines.decodeEngines(), options.tokens);
  Loader toRelay({}, {relayAddress}, options.tokens);
  Loader toNode({}, {nodeAddress}, options.tokens);
  BenchMeasurements measurements;
  for (int round = 0; round < options.rounds; ++round) {
    measure(options, toEngines, nullptr, measurements.direct);
    measure(options, toRelay, &relay, measurements.relayed);
    measure(options, toNode, &node, measurements.routed);
  }
  return measurements;
}

void printRatios(const BenchOptions& o, const BenchMeasurements& measurements, std::ostream& out) {
  const auto median = [](const std::vector<double>& values) { return quantile(values, 0.5); };
  const auto& [direct, relayed, routed] = measurements;
  out << "medians of " << o.rounds << " rounds, " << o.concurrency << " requests in flight, " << o.tokens
      << " tokens per response; fake engines that respond immediately\n"
      << "tokens per CPU second, node / relay: " << median(routed.tokensPerCpu) / median(relayed.tokensPerCpu)
      << "\n"
      << "requests per second, node / relay: "
      << median(routed.requestsPerSecond) / median(relayed.requestsPerSecond) << "\n"
      << "requests per second, node / direct: "
      << median(routed.requestsPerSecond) / median(direct.requestsPerSecond) << "\n"
      << "time to first token with 1 request in flight, above direct: node p50 "
      << 1000 * (median(routed.p50) - median(direct.p50)) << " ms, p99 "
      << 1000 * (median(routed.p99) - median(direct.p99)) << " ms; relay p50 "
      << 1000 * (median(relayed.p50) - median(direct.p50)) << " ms, p99 "
      << 1000 * (median(relayed.p99) - median(direct.p99)) << " ms\n";
}

}  // namespace

void bench(const BenchOptions& o, std::ostream& out) {
  std::string folder = (std::filesystem::temp_directory_path() / "gannetcourse-bench-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
  const BenchMeasurements measurements = measureAll(o, folder);
  const Settings policy = config::parseSettings(settingsFor("none"), "bench").policy;
  const auto [core, module] =
      measureCoreCost(policy, kPrefillEngines, kDecodeEngines, kCoreRequests, o.tokens);
  const double all = quantile(measurements.routed.cpuPerRequest, 0.5);
  out.precision(3);
  printRatios(o, measurements, out);
  out << "CPU time of a request in the node, as shares: decision module " << module / all << ", core "
      << (core - module) / all << ", network and host " << (all - core) / all << "\n";
  if (o.memory) {
    for (const int streams : {1000, 10000})
      out << "memory of the node process per stream at " << streams
          << " open streams: " << memoryPerStream(o, streams, folder) << " KiB\n";
  }
  std::filesystem::remove_all(folder);
}

}  // namespace gannetcourse::lab
