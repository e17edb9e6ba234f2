#include "bench.h"

#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <thread>
#include <vector>

#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/engine.pb.h"
#include "node/node.h"
#include "node_process.h"
#include "relay.h"

namespace gannetcourse::lab {
namespace {

constexpr int kPrefillEngines = 2, kDecodeEngines = 2;

// An event loop on a thread of its own, with what `make` builds there.
class LoopThread {
 public:
  explicit LoopThread(std::function<std::shared_ptr<void>(net::Loop&)> make) {
    std::promise<void> up;
    auto ready = up.get_future();
    thread_ = std::thread([this, &up, make = std::move(make)] {
      net::Loop loop;
      loop_ = &loop;
      std::shared_ptr<void> kept = make(loop);
      up.set_value();
      loop.run();
      kept.reset();
    });
    ready.get();
  }
  ~LoopThread() {
    loop_->post([this] { loop_->stop(); });
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  // CPU seconds that the thread has used.
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

// Answers at once; or, with `hold`, only begins to.
struct QuickEngine {
  QuickEngine(net::Loop& loop, int tokens, bool hold) : server(loop, net::Endpoint{}) {
    server.handle("/gannetcourse.v1.Engine/Prefill",
                  [](const std::shared_ptr<grpc::ServerCall>& call, std::string_view) {
                    v1::PrefillReply reply;
                    reply.set_state("s");
                    call->send(reply.SerializeAsString());
                    call->finish({});
                  });
    server.handle("/gannetcourse.v1.Engine/Decode",
                  [tokens, hold](const std::shared_ptr<grpc::ServerCall>& call, std::string_view) {
                    v1::DecodeToken token;
                    token.set_text("reading ");
                    for (int i = 0; i < (hold ? 1 : tokens); ++i) {
                      token.set_index(static_cast<std::uint32_t>(i));
                      call->send(token.SerializeAsString());
                    }
                    if (!hold) call->finish({});
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
  Engines(int tokens, bool hold)
      : host([&](net::Loop& loop) {
          auto all = std::make_shared<std::vector<std::unique_ptr<QuickEngine>>>();
          for (int i = 0; i < kPrefillEngines + kDecodeEngines; ++i) {
            all->push_back(std::make_unique<QuickEngine>(loop, tokens, hold));
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
         // Streams that are held open for their memory are silent on purpose.
         "<engines connections=\"16\"/><recovery silence-at-least=\"10min\"/>"
         "<fleet file=\"" +
         fleetFile + "\"/><log level=\"warn\"/></gannetcourse>";
}

// One thread of load: closed loop, `concurrency` requests at once.
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

class Loader {
 public:
  Loader(const std::vector<net::Endpoint>& prefillEngines, const std::vector<net::Endpoint>& decodeEngines,
         int tokens)
      : tokens_(tokens) {
    grpc::ChannelOptions options;
    options.http2.maxStreams = 20000;
    for (const auto& to : prefillEngines)
      prefillChannels_.push_back(std::make_unique<grpc::Channel>(loop_, to, options));
    for (const auto& to : decodeEngines)
      decodeChannels_.push_back(std::make_unique<grpc::Channel>(loop_, to, options));
  }

  // With readers: engines directly. Without: the writers are nodes or relays.
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
    v1::PrefillRequest read;
    read.set_prompt("why is this reading so high?");
    const auto call = prefillChannels_[++number_ % prefillChannels_.size()]->start(
        "/gannetcourse.v1.Engine/Prefill", read.SerializeAsString(), Duration(30));
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

struct Figures {
  std::vector<double> tokensPerCpu, requestsPerSecond, cpuPerRequest, p50, p99;
};

void measure(const BenchOptions& o, Loader& loader, LoopThread* middle, Figures& to) {
  loader.run(0.2, o.concurrency);  // warm
  const double before = middle == nullptr ? 0 : middle->cpu();
  const Load busy = loader.run(o.seconds, o.concurrency);
  const double used = middle == nullptr ? 0 : middle->cpu() - before;
  const Load idle = loader.run(o.seconds / 2, 1);
  if (busy.failures + idle.failures > 0) throw std::runtime_error("requests failed during a measurement");
  to.requestsPerSecond.push_back(static_cast<double>(busy.requests) / o.seconds);
  if (middle != nullptr) {
    to.tokensPerCpu.push_back(static_cast<double>(busy.tokens) / used);
    to.cpuPerRequest.push_back(used / static_cast<double>(busy.requests));
  }
  to.p50.push_back(quantile(idle.firstTokens, 0.5));
  to.p99.push_back(quantile(idle.firstTokens, 0.99));
}

double threadCpu() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

// CPU of the core without any wire, a request; and of the module inside it, by the same events once more.
std::pair<double, double> coreCosts(int requests, int tokens) {
  const config::NodeSettings settings = config::parseSettings(settingsFor("none"), "bench");
  EngineListUpdate list{EngineListUpdate::Scope::kSnapshot, {}};
  for (std::uint32_t i = 1; i <= kPrefillEngines + kDecodeEngines; ++i) {
    EngineEntry e;
    e.id = {i};
    e.role = i <= kPrefillEngines ? Role::kPrefill : Role::kDecode;
    e.memoryTokens = 4e8;
    list.entries.push_back(e);
  }
  router::Core core(settings.policy, {"bench", Duration(0.06), false, {}});
  double now = 1;
  const auto at = [&] { return Instant(Duration(now)); };
  core.onEngineListUpdate(at(), list);
  core.takeCommands();
  auto work = std::make_shared<router::RequestPayload>();
  work->promptTokens = 200;
  const double from = threadCpu();
  for (int i = 1; i <= requests; ++i) {
    now += 0.0002;
    core.advance(at());
    router::NewRequest a;
    a.key = static_cast<router::RequestKey>(i);
    a.timeUntilDeadline = Duration(30);
    a.sessionKey = static_cast<std::uint64_t>(i % 997) + 1;
    a.payload = work;
    core.onRequest(at(), std::move(a));
    for (bool more = true; more;) {
      more = false;
      for (const router::Command& c : core.takeCommands()) {
        if (const auto* read = std::get_if<router::StartPrefill>(&c)) {
          core.onPrefillEnded(at(), read->call, "s", 0, {});
          more = true;
        } else if (const auto* write = std::get_if<router::StartDecode>(&c)) {
          for (int t = 0; t < tokens; ++t)
            core.onToken(at(), write->call, static_cast<std::uint32_t>(t), "reading ");
          core.onCallEnded(at(), write->call, Outcome::kOk, 0, {}, {});
          more = true;
        }
      }
    }
  }
  const double whole = (threadCpu() - from) / requests;

  Policy policy(settings.policy);
  std::vector<Action> actions;
  now = 1;
  policy.handle(at(), list, actions);
  std::multimap<double, std::string> timers;
  const double start = threadCpu();
  for (int i = 1; i <= requests; ++i) {
    now += 0.0002;
    const auto collect = [&] {
      std::optional<StartAttempt> send;
      for (const Action& a : actions) {
        if (const auto* timer = std::get_if<SetTimer>(&a))
          timers.emplace(timer->at.time_since_epoch().count(), timer->timer.value);
        if (const auto* one = std::get_if<StartAttempt>(&a)) send = *one;
      }
      actions.clear();
      return send;
    };
    collect();
    while (!timers.empty() && timers.begin()->first <= now) {
      const std::string token = timers.begin()->second;
      timers.erase(timers.begin());
      policy.handle(at(), TimerFired{token}, actions);
      collect();
    }
    RequestArrived arrived;
    arrived.id = {"bench-" + std::to_string(i)};
    arrived.timeUntilDeadline = Duration(29.9);
    arrived.sessionKey = static_cast<std::uint64_t>(i % 997) + 1;
    arrived.promptTokens = 200;
    policy.handle(at(), arrived, actions);
    const auto read = collect();
    if (!read) continue;
    policy.handle(at(),
                  AttemptEnded{arrived.id, 0, read->engine, Outcome::kPrefilled, false, 0, Duration(0), {}},
                  actions);
    const auto write = collect();
    if (!write) continue;
    policy.handle(at(), StreamStarted{arrived.id, 1, write->engine, Duration(0)}, actions);
    policy.handle(at(), AttemptEnded{arrived.id, 1, write->engine, Outcome::kOk, true, 0, Duration(0), {}},
                  actions);
  }
  return {whole, (threadCpu() - start) / requests};
}

double residentKiB(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6));
  }
  return 0;
}

// Memory of a node process a stream, with this many open.
double memoryPerStream(const BenchOptions& o, int streams, const std::string& folder) {
  Engines engines(o.tokens, true);
  const std::string fleet = folder + "/fleet.xml";
  std::ofstream(fleet) << engines.fleet();
  const auto node = startProcess(o.nodeBinary, folder, "node", settingsFor(fleet));
  net::Loop loop;
  std::vector<std::unique_ptr<grpc::Channel>> channels;
  grpc::ChannelOptions options;
  options.http2.maxStreams = 20000;
  options.keepaliveEvery = Duration(0);
  for (int i = 0; i < 16; ++i)
    channels.push_back(
        std::make_unique<grpc::Channel>(loop, net::Endpoint{"127.0.0.1", node->port()}, options));
  std::vector<std::shared_ptr<grpc::ClientCall>> calls;
  int begun = 0, ended = 0;
  const auto open = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const auto call = channels[calls.size() % channels.size()]->start(
          "/gannetcourse.v1.Chat/Generate", makeRequest(calls.size(), o.tokens).SerializeAsString(),
          Duration(300));
      call->onMessage = [&](std::string_view) { ++begun; };
      call->onEnd = [&](const grpc::CallEnd&) { ++ended; };
      calls.push_back(call);
    }
  };
  const auto wait = [&](int all) {
    const Instant end = net::monotonicNow() + Duration(30);
    while (begun + ended < all && net::monotonicNow() < end) loop.runOnce(Duration(0.02));
  };
  open(50);
  wait(50);
  const double before = residentKiB(node->pid());
  const int from = begun;
  for (int left = streams; left > 0; left -= 100) {
    open(std::min(left, 100));
    wait(static_cast<int>(calls.size()));
  }
  const double grown = residentKiB(node->pid()) - before;
  const int held = begun - from;
  for (const auto& call : calls) call->onEnd = nullptr;
  node->kill();
  if (held < streams * 9 / 10)
    throw std::runtime_error("only " + std::to_string(held) + " streams were opened");
  return grown / held;
}

}  // namespace

void bench(const BenchOptions& o, std::ostream& out) {
  std::string folder = (std::filesystem::temp_directory_path() / "gannetcourse-bench-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no temporary folder");
  Figures direct, relayed, routed;
  {
    Engines engines(o.tokens, false);
    std::ofstream(folder + "/fleet.xml") << engines.fleet();
    net::Endpoint relayAt, nodeAt;
    LoopThread relay([&](net::Loop& loop) {
      auto made = std::make_shared<Relay>(loop, engines.prefillEngines(), engines.decodeEngines());
      relayAt = {"127.0.0.1", made->port()};
      return made;
    });
    LoopThread node([&](net::Loop& loop) {
      auto made = std::make_shared<node::Node>(
          loop, config::parseSettings(settingsFor(folder + "/fleet.xml"), "bench"), "bench",
          node::Node::Hooks{});
      nodeAt = {"127.0.0.1", made->port()};
      return made;
    });
    Loader straight(engines.prefillEngines(), engines.decodeEngines(), o.tokens),
        byRelay({}, {relayAt}, o.tokens), byNode({}, {nodeAt}, o.tokens);
    for (int round = 0; round < o.rounds; ++round) {
      measure(o, straight, nullptr, direct);
      measure(o, byRelay, &relay, relayed);
      measure(o, byNode, &node, routed);
    }
  }
  const auto mid = [](const std::vector<double>& values) { return quantile(values, 0.5); };
  const auto [core, module] = coreCosts(20000, o.tokens);
  const double all = mid(routed.cpuPerRequest);
  out.precision(3);
  out << "medians of " << o.rounds << " rounds in turn, " << o.concurrency << " requests at once, "
      << o.tokens << " tokens an answer; quick stand-in engines\n"
      << "tokens per CPU second, node / relay: " << mid(routed.tokensPerCpu) / mid(relayed.tokensPerCpu)
      << "\n"
      << "requests a second, node / relay: " << mid(routed.requestsPerSecond) / mid(relayed.requestsPerSecond)
      << "\n"
      << "requests a second, node / direct: " << mid(routed.requestsPerSecond) / mid(direct.requestsPerSecond)
      << "\n"
      << "first token one at a time, added to direct: p50 " << 1000 * (mid(routed.p50) - mid(direct.p50))
      << " ms, p99 " << 1000 * (mid(routed.p99) - mid(direct.p99)) << " ms; by the relay: p50 "
      << 1000 * (mid(relayed.p50) - mid(direct.p50)) << " ms, p99 "
      << 1000 * (mid(relayed.p99) - mid(direct.p99)) << " ms\n"
      << "CPU of a request in the node: module " << module / all << ", core " << (core - module) / all
      << ", wire and host " << (all - core) / all << " of the whole\n";
  if (o.memory) {
    for (const int streams : {1000, 10000})
      out << "memory of the node process a stream at " << streams
          << " open: " << memoryPerStream(o, streams, folder) << " KiB\n";
  }
  std::filesystem::remove_all(folder);
}

}  // namespace gannetcourse::lab
