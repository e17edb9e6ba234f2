// Checks invariants of the policy over long random sequences of events, by seed.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "harness.h"

namespace gannetcourse::test {
namespace {

// Simulates 24 s with random arrivals, outcomes and changes of engines, and checks every action of the
// policy: one final response per request before its deadline, one attempt at a time, safe retries, leases
// within their limit.
class RandomDay {
 public:
  explicit RandomDay(std::uint32_t seed)
      : random_(seed), settings_(makeSettings(random_)), host_(settings_) {}

  void run() {
    for (std::uint32_t id = 1; id <= 8; ++id) entries_.push_back(engineEntry(id, role(id), id % 2, id % 3));
    check(host_.updateEngineList(now_, entries_, EngineListUpdate::Scope::kCached));
    for (int step = 0; step < 6000; ++step) {
      now_ += 0.004;
      if (draw(100) < 12 && step < 5000) arrive();
      if (draw(1000) < 4) changeEngine();
      endAttempts();
      if (step % 5 == 0) check(host_.doHousekeeping(now_));
    }
    EXPECT_GT(served_, 20);
    for (const auto& [id, r] : requests_) EXPECT_TRUE(r.answered) << id << " got no final response";
  }

 private:
  struct OpenRequest {
    double deadline = 0, leasedSince = 0, firstRunAt = -1;
    bool answered = false, streaming = false, stateLeased = false, inFlight = false;
    int attempts = 0;
    std::uint32_t engine = 0, firstRunCell = 0;
    double endsAt = 0;
    bool arrived = false;  // whether the attempt in flight has reached its engine
    bool mayHaveRun = false;
    Idempotency idempotency = Idempotency::kIdempotent;
  };

  static Settings makeSettings(std::mt19937& random) {
    Settings s = twoStageSettings();
    s.cancelAllowed = random() % 2 == 0;
    s.classes.resize(3, s.classes[0]);
    s.classes[1].idempotency = Idempotency::kIdempotencyKey;
    s.classes[1].dedupScope = DedupScope::kCell;
    s.classes[1].dedupWindow = Duration(1.5);
    s.classes[2].idempotency = Idempotency::kAtMostOnce;
    return s;
  }

  static Role role(std::uint32_t id) {
    return id <= 3 ? Role::kPrefill : id <= 6 ? Role::kDecode : Role::kMixed;
  }
  // A random number of at least 0 and less than `below`.
  int draw(int below) { return static_cast<int>(random_() % static_cast<std::uint32_t>(below)); }

  void arrive() {
    RequestArrived r;
    r.id = {"q" + std::to_string(count_++)};
    r.classIndex = static_cast<std::size_t>(draw(3));
    r.timeUntilDeadline = Duration(0.3 + draw(30) * 0.1);
    r.promptTokens = 100 + draw(4000);
    r.sessionKey = static_cast<std::uint64_t>(draw(40));
    r.maxOutputTokens = 200;
    requests_[r.id.value].deadline = now_ + r.timeUntilDeadline.count();
    requests_[r.id.value].idempotency = settings_.classes[r.classIndex].idempotency;
    check(host_.feed(now_, r));
  }

  void changeEngine() {
    EngineEntry& e = entries_[static_cast<std::size_t>(draw(8))];
    const bool serving = e.state == EngineEntry::State::kServing;
    if (serving) {
      e.state = draw(2) != 0 ? EngineEntry::State::kDraining : EngineEntry::State::kRemoved;
    } else {
      e.state = EngineEntry::State::kServing;
      e.startedAt = Instant(Duration(now_ - 0.5));
    }
    check(host_.updateEngineList(now_, {e}, EngineListUpdate::Scope::kDelta));
  }

  void endAttempts() {
    std::vector<std::string> due;
    for (const auto& [id, r] : requests_) {
      if (r.inFlight && now_ >= r.endsAt) due.push_back(id);
    }
    for (const std::string& id : due) endAttempt(id, requests_[id]);
    for (const auto& [id, r] : requests_) {
      if (r.stateLeased &&
          !(r.inFlight && r.arrived)) {  // an attempt that has not arrived does not protect the state
        EXPECT_LT(now_ - r.leasedSince, settings_.stateLeaseLimit.count()) << id;
      }
      if (!r.answered && !r.streaming) {
        EXPECT_LT(now_, r.deadline) << id;
      }
    }
  }

  void endAttempt(const std::string& id, OpenRequest& r) {
    const bool isPrefill = role(r.engine) == Role::kPrefill;
    if (r.streaming) {
      r.stateLeased = r.streaming = r.inFlight = false;
      r.answered = true;
      ++served_;
      check(host_.attemptEnded(now_, id, r.engine, draw(10) ? Outcome::kOk : Outcome::kReset, true));
      return;
    }
    const int outcomeDraw = r.arrived ? draw(10) : 9;
    if (outcomeDraw < 8 && !isPrefill && !r.answered) {
      r.streaming = true;
      r.stateLeased = false;
      r.endsAt = now_ + 0.5;
      check(host_.streamStarted(now_, id, r.engine));
      return;
    }
    Outcome outcome = Outcome::kPrefilled;
    if (!isPrefill || outcomeDraw >= 8) {
      const Outcome failures[] = {Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset,
                                  Outcome::kError, Outcome::kRejected};
      outcome = failures[draw(r.arrived ? 5 : 3)];
    }
    r.inFlight = false;
    if (outcome == Outcome::kPrefilled) r.stateLeased = true;
    if (r.stateLeased && r.arrived) r.leasedSince = now_;
    const bool provenNotRun = outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed;
    if (!isPrefill && !provenNotRun) {
      if (!r.mayHaveRun) r.firstRunCell = r.engine % 2;
      r.mayHaveRun = true;
    }
    check(host_.attemptEnded(now_, id, r.engine, outcome, r.answered));
  }

  void check(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) onStartAttempt(*start);
      if (const auto* release = std::get_if<Release>(&action)) onRelease(requests_[release->id.value]);
      if (const auto* reject = std::get_if<RejectRequest>(&action)) {
        OpenRequest& r = requests_[reject->id.value];
        const bool ran = r.mayHaveRun || (r.inFlight && role(r.engine) != Role::kPrefill);
        EXPECT_TRUE(r.idempotency == Idempotency::kIdempotent || !ran)
            << "the request was rejected although an attempt may have run";
        onFinalResponse(reject->id.value);
      }
      if (const auto* fail = std::get_if<FailRequest>(&action)) onFinalResponse(fail->id.value);
    }
  }

  // A release ends the lease, unless a decode attempt that has arrived is waiting for the state.
  void onRelease(OpenRequest& r) {
    const bool waitsForState = r.inFlight && r.arrived && role(r.engine) != Role::kPrefill;
    if (!waitsForState) r.stateLeased = false;
  }

  void onStartAttempt(const StartAttempt& start) {
    OpenRequest& r = requests_[start.id.value];
    const EngineEntry& to = entries_[start.engine.value - 1];
    EXPECT_FALSE(r.answered) << "an attempt was started after the final response";
    EXPECT_FALSE(r.inFlight) << "a second attempt was started while one is in flight";
    EXPECT_EQ(to.state, EngineEntry::State::kServing);
    EXPECT_LE(++r.attempts, settings_.maxAttempts);
    EXPECT_GT(start.timeout.count(), 0);
    if (r.mayHaveRun && r.idempotency != Idempotency::kIdempotent) {
      EXPECT_EQ(r.idempotency, Idempotency::kIdempotencyKey)
          << "an at-most-once request was retried although it may have run";
      EXPECT_EQ(to.cell, r.firstRunCell);
      EXPECT_LE(now_, r.firstRunAt + 1.5);
    }
    if (role(to.id.value) != Role::kPrefill && (r.firstRunAt < 0 || !r.mayHaveRun)) r.firstRunAt = now_;
    r.inFlight = true;
    r.engine = start.engine.value;
    r.arrived = draw(6) > 0;
    r.endsAt = now_ + std::min(start.timeout.count(), 0.02 + draw(r.arrived ? 20 : 90) * 0.02);
  }

  void onFinalResponse(const std::string& id) {
    EXPECT_FALSE(requests_[id].answered) << id << " got two final responses";
    EXPECT_LE(now_, requests_[id].deadline) << id;
    requests_[id].answered = true;
  }

  std::mt19937 random_;
  Settings settings_;
  PolicyHost host_;
  std::vector<EngineEntry> entries_;
  std::map<std::string, OpenRequest> requests_;
  double now_ = 1;
  int count_ = 0, served_ = 0;
};

class RandomDays : public testing::TestWithParam<std::uint32_t> {};

TEST_P(RandomDays, SatisfyTheInvariants) { RandomDay(GetParam()).run(); }

INSTANTIATE_TEST_SUITE_P(Seeds, RandomDays, testing::Range(1U, 13U));

}  // namespace
}  // namespace gannetcourse::test
