// Seeded streams of inputs give the commands that were recorded for them: whoever moves code of the core
// without meaning to change what it does is told by this test. Record kinds count by the order of their first
// appearance and reasons by the figures in them, so that both may be reworded. After a change that is meant,
// the file is written anew: GANNETCOURSE_RECORD=1 build-ci/tests/core_tests --gtest_filter='*CoreStreams*'
#include <gtest/gtest.h>

#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "gannetcourse/router.h"
#include "harness.h"

namespace gannetcourse::router {
namespace {

constexpr std::uint32_t kSeeds = 12;
constexpr double kLength = 15;  // seconds that a stream lasts
constexpr double kStep = 0.02;

std::string textOf(const std::optional<EngineId>& engine) {
  return engine ? std::to_string(engine->value) : "-";
}
std::string textOf(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.9g", value);
  return text;
}
std::string textOf(const std::shared_ptr<const RequestPayload>& work) {
  return work->prompt + "/" + std::to_string(work->promptTokens) + "/" +
         std::to_string(work->firstTokenIndex);
}
std::string numbersIn(const std::string& text) {
  std::string numbers;
  for (const char c : text) {
    if (std::isdigit(static_cast<unsigned char>(c)) != 0 || c == '.') numbers += c;
  }
  return numbers;
}

// The commands as text, one line each.
class CommandText {
 public:
  std::string operator()(const StartPrefill& c) const {
    return "prefill " + id(c.call, c.request, c.id, c.attempt) + textOf(c.engine) + " " +
           textOf(c.timeUntilDeadline.count()) + " " + textOf(c.timeout.count()) + " " + textOf(c.payload);
  }
  std::string operator()(const StartDecode& c) const {
    return "decode " + id(c.call, c.request, c.id, c.attempt) + textOf(c.engine) + " " +
           textOf(c.prefillEngine) + " " + c.stateHandle + " " + textOf(c.timeUntilDeadline.count()) + " " +
           textOf(c.timeout.count()) + " " + textOf(c.payload);
  }
  std::string operator()(const CancelCall& c) const { return "cancel " + std::to_string(c.call); }
  std::string operator()(const ReserveCapacity& c) const {
    return "reserve " + id(0, c.request, c.id, c.attempt) + textOf(c.engine);
  }
  std::string operator()(const ReleaseState& c) const {
    return "release " + id(0, 0, c.id, c.attempt) + textOf(c.engine);
  }
  std::string operator()(const FenceAttempt& c) const {
    return "fence " + id(0, c.request, c.id, c.attempt) + textOf(c.engine);
  }
  std::string operator()(const ResumePoint& c) const {
    return "resume " + id(0, c.request, c.id, c.attempt) + textOf(c.engine);
  }
  std::string operator()(const SendToken& c) const {
    return "token " + std::to_string(c.request) + " " + std::to_string(c.index) + " " + c.text;
  }
  std::string operator()(const FinalResponse& c) const {
    return "response " + std::to_string(c.request) + " " + std::to_string(static_cast<int>(c.status)) + " " +
           textOf(c.retryAfter.count()) + " " + c.reason;
  }
  std::string operator()(const ProbeEngine& c) const { return "probe " + textOf(c.engine); }
  std::string operator()(const Subscribe&) const { return "subscribe"; }
  std::string operator()(const Fetch&) const { return "fetch"; }
  std::string operator()(const Record& c) {
    const auto kind = kinds_.emplace(c.kind, kinds_.size()).first->second;
    return "record " + std::to_string(kind) + " " + textOf(c.at.time_since_epoch().count()) + " " +
           c.request + " " + textOf(c.engine) + " " + std::to_string(c.attempt) + " " + numbersIn(c.reason);
  }

 private:
  static std::string id(CallKey call, RequestKey request, const std::string& name, int attempt) {
    return std::to_string(call) + " " + std::to_string(request) + " " + name + " " + std::to_string(attempt) +
           " ";
  }

  std::map<RecordKind, std::size_t> kinds_;
};

// FNV-1a over lines.
class Digest {
 public:
  void add(const std::string& line) {
    for (const char c : line + "\n") hash_ = (hash_ ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    ++lines_;
  }
  std::string text() const {
    char text[64];
    std::snprintf(text, sizeof text, "%016llx %zu", static_cast<unsigned long long>(hash_), lines_);
    return text;
  }

 private:
  std::uint64_t hash_ = 0xcbf29ce484222325ULL;
  std::size_t lines_ = 0;
};

// One core among simulated engines and clients for some seconds: requests and resumed streams, answers good
// and bad, silence, tokens out of order, fences, drains, removals, disconnects, and new settings.
class Stream {
 public:
  explicit Stream(std::uint32_t seed)
      : random_(seed), settings_(settingsOf(seed)), core_(settings_, optionsOf(seed)) {}

  std::string play() {
    for (std::uint32_t id = 1; id <= 9; ++id) entries_.push_back(entryOf(id));
    core_.onEngineListUpdate(at(), EngineListUpdate{EngineListUpdate::Scope::kSnapshot, entries_});
    take();
    for (; now_ < kLength; now_ += kStep) {
      core_.advance(at());
      take();
      if (now_ < kLength - 3 && draw(3) == 0) arrive();
      if (draw(60) == 0) changeServer();
      if (draw(60) == 0) disturbClient();
      if (draw(400) == 0) reconfigure();
      for (const Out& out : dueCalls()) progress(out);
    }
    core_.drain(at());
    for (double end = now_ + 8; now_ < end; now_ += kStep) {
      core_.advance(at());
      take();
      for (const Out& out : dueCalls()) progress(out);
    }
    const Counters& c = core_.counters();
    digest_.add(std::to_string(c.accepted) + " " + std::to_string(c.resumed) + " " +
                std::to_string(c.served) + " " + std::to_string(c.rejected) + " " + std::to_string(c.failed) +
                " " + std::to_string(c.deadlineExceeded) + " " + std::to_string(c.clientsDisconnected) + " " +
                std::to_string(c.attempts) + " " + std::to_string(c.tokens) + " " +
                std::to_string(c.continued) + " " + std::to_string(c.droppedTokens) + " " +
                std::to_string(c.actionsBlocked) + " " + std::to_string(total(core_.violations())) + " " +
                std::to_string(core_.openRequests()) + " " + std::to_string(core_.pendingObligations()));
    return digest_.text();
  }

 private:
  struct Out {
    CallKey call = 0;
    RequestKey request = 0;
    std::string id;
    int attempt = 0;
    EngineId engine;
    bool reads = false;
    std::uint32_t next = 0, end = 0;
    double until = 0;
  };
  struct Fence {
    RequestKey request = 0;
    int attempt = 0;
  };

  static Settings settingsOf(std::uint32_t seed) {
    Settings s = test::twoStageSettings();
    s.seed = seed;
    s.cancelAllowed = seed % 3 != 0;
    s.probesAllowed = seed % 2 == 0;
    s.loadReportSource = seed % 2 == 0 ? LoadReportSource::kProbes : LoadReportSource::kResponses;
    s.classes.resize(3, s.classes[0]);
    s.classes[1].idempotency = Idempotency::kIdempotencyKey;
    s.classes[1].dedupWindow = Duration(1.5);
    s.classes[2].idempotency = Idempotency::kAtMostOnce;
    s.classes[2].priorityWeight = 3;
    return s;
  }

  static Options optionsOf(std::uint32_t seed) {
    Options options{"n", Duration(0.05), true, {}};
    options.recovery.enabled = seed % 4 != 1;
    options.recovery.maxBufferedBytesPerStream = seed % 5 == 0 ? 30 : 4096;
    return options;
  }

  static EngineEntry entryOf(std::uint32_t id) {
    const Role role = id <= 4 ? Role::kPrefill : id <= 8 ? Role::kDecode : Role::kMixed;
    return test::server(id, role, id % 3, id % 2);
  }

  Instant at() const { return Instant(Duration(now_)); }
  int draw(int below) { return static_cast<int>(random_() % static_cast<std::uint32_t>(below)); }

  void arrive() {
    NewRequest a;
    a.key = ++lastRequest_;
    if (draw(5) == 0) a.id = "client-" + std::to_string(a.key);
    a.timeUntilDeadline = Duration(1 + draw(60) * 0.1);
    a.deadlineEndsAtFirstToken = draw(8) == 0;
    a.firstTokenTimeout = Duration(draw(3) == 0 ? 1.5 : 0);
    a.classIndex = static_cast<std::size_t>(draw(3));
    a.isRetry = draw(10) == 0;
    a.sessionKey = static_cast<std::uint64_t>(1 + draw(20));
    a.prefixKey = static_cast<std::uint64_t>(draw(4));
    auto work = std::make_shared<RequestPayload>();
    work->prompt = "p" + std::to_string(a.key);
    work->promptTokens = static_cast<std::uint32_t>(200 + draw(3000));
    work->prefixTokens = a.prefixKey == 0 ? 0 : 150;
    work->maxOutputTokens = 60;
    a.payload = work;
    if (draw(12) == 0) {
      a.resumedStream = ResumedStream{"n-" + std::to_string(1 + draw(static_cast<int>(a.key))), draw(3),
                                      EngineId{static_cast<std::uint32_t>(5 + draw(4))},
                                      static_cast<std::uint32_t>(draw(9)), "t"};
    }
    core_.onRequest(at(), std::move(a));
    take();
  }

  void changeServer() {
    EngineEntry& entry = entries_[static_cast<std::size_t>(draw(9))];
    const bool serves = entry.state == EngineEntry::State::kServing;
    entry.state = !serves        ? EngineEntry::State::kServing
                  : draw(3) == 0 ? EngineEntry::State::kRemoved
                                 : EngineEntry::State::kDraining;
    if (!serves) entry.startedAt = Instant(Duration(now_ - 0.5));
    core_.onEngineListUpdate(at(), EngineListUpdate{EngineListUpdate::Scope::kDelta, {entry}});
    take();
    if (!serves) return;
    if (draw(2) == 0) {
      core_.onEngineShutdownNotice(at(), entry.id, at() + Duration(0.8));
    } else {
      core_.onGoAway(at(), entry.id);
    }
    take();
  }

  void disturbClient() {
    const RequestKey request = lastRequest_ - static_cast<RequestKey>(draw(8));
    if (draw(2) == 0) {
      core_.onClientDisconnected(at(), request);
    } else {
      core_.onClientPaused(at(), request, draw(2) == 0);
    }
    take();
  }

  void reconfigure() {
    settings_.routerCount = 1 + draw(40);
    settings_.stateLeaseLimit = Duration(0.4 + draw(3) * 0.2);
    core_.reconfigure(at(), settings_);
    take();
  }

  std::vector<Out> dueCalls() {
    std::vector<Out> due;
    for (const auto& [call, out] : out_) {
      if (now_ >= out.until) due.push_back(out);
    }
    return due;
  }

  LoadReport report() {
    LoadReport load;
    load.requestsQueued = draw(5);
    load.memoryUtilization = draw(100) * 0.01;
    return load;
  }

  // One step of a call: its prefill ends, a token comes, or it ends well or badly.
  void progress(const Out& due) {
    const auto it = out_.find(due.call);
    if (it == out_.end()) return;
    const int luck = draw(due.reads ? 10 : 60);
    const Outcome bad[] = {Outcome::kError,    Outcome::kReset,   Outcome::kConnectFailed,
                           Outcome::kRejected, Outcome::kTimeout, Outcome::kStateLost};
    if (luck == 0)
      return end(due, bad[draw(6)],
                 draw(2) == 0 ? recovery::AttemptEnd::kConfirmed : recovery::AttemptEnd::kAbandoned);
    if (due.reads) {
      out_.erase(it);
      core_.onPrefillEnded(at(), due.call, "state-" + std::to_string(due.call), draw(200), report());
      return take();
    }
    if (due.next >= due.end) return end(due, Outcome::kOk, recovery::AttemptEnd::kConfirmed);
    std::uint32_t index = due.next;
    if (luck == 1) ++index;                  // a token is missing
    if (luck == 2 && due.next > 0) --index;  // one comes twice
    if (index == due.next) ++it->second.next;
    it->second.until = now_ + (luck == 3 ? 2.5 : 0.03 + draw(4) * 0.02);
    core_.onToken(at(), due.call, index, "t" + std::to_string(index));
    take();
  }

  void end(const Out& due, Outcome outcome, recovery::AttemptEnd ending) {
    out_.erase(due.call);
    core_.onCallEnded(at(), due.call, outcome, 0, report(), "engine said " + std::to_string(draw(9)), ending);
    take();
  }

  // Takes the core's commands into the digest and lets the engines have them.
  void take() {
    std::vector<Command> commands;
    while (core_.takeCommandsInto(commands)) {
      const std::vector<Command> now = commands;
      for (const Command& command : now) {
        digest_.add(std::visit(text_, command));
        std::visit([this](const auto& c) { carryOut(c); }, command);
      }
    }
  }

  template <class Other>
  void carryOut(const Other&) {}
  void carryOut(const StartPrefill& c) {
    const double takes = draw(12) == 0 ? 9 : 0.03 + draw(10) * 0.02;
    out_[c.call] = {c.call, c.request, c.id, c.attempt, c.engine, true, 0, 0, now_ + takes};
  }
  void carryOut(const StartDecode& c) {
    const double takes = draw(12) == 0 ? 9 : 0.03 + draw(10) * 0.02;
    const std::uint32_t first = c.payload->firstTokenIndex;
    out_[c.call] = {c.call,      c.request, c.id,  c.attempt,
                    c.engine,    false,     first, first + 3 + static_cast<std::uint32_t>(draw(25)),
                    now_ + takes};
  }
  void carryOut(const CancelCall& c) {
    // What a cancelled call still says has to be passed over.
    if (draw(4) == 0) core_.onToken(at(), c.call, 0, "late");
    out_.erase(c.call);
  }
  void carryOut(const FenceAttempt& c) {
    if (draw(3) != 0) core_.onAttemptFenced(at(), c.request, c.attempt);
  }
  void carryOut(const ProbeEngine& c) {
    core_.onProbeEnded(at(), c.engine, draw(6) == 0 ? Outcome::kConnectFailed : Outcome::kOk, Duration(0.004),
                       report());
  }
  void carryOut(const ReserveCapacity& c) {
    core_.onReservationResult(at(), c.request, c.engine, draw(2) == 0);
  }

  std::mt19937 random_;
  Settings settings_;
  Core core_;
  CommandText text_;
  Digest digest_;
  std::vector<EngineEntry> entries_;
  std::map<CallKey, Out> out_;
  double now_ = 1;
  RequestKey lastRequest_ = 10;
};

TEST(CoreStreams, GiveTheRecordedCommands) {
  std::ostringstream played;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) played << seed << " " << Stream(seed).play() << "\n";
  const std::string path = std::string(TEST_DATA) + "/core-streams.txt";
  if (std::getenv("GANNETCOURSE_RECORD") != nullptr) std::ofstream(path) << played.str();
  std::ostringstream recorded;
  recorded << std::ifstream(path).rdbuf();
  EXPECT_EQ(played.str(), recorded.str()) << "seed, digest, number of commands";
}

}  // namespace
}  // namespace gannetcourse::router
