// The rules as invariants over long seeded random days.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "harness.h"

namespace gannetcourse::test {
namespace {

// A host that plays random outcomes, late lists, restarts and clients that leave, and checks each action.
class RandomDay {
 public:
  explicit RandomDay(std::uint32_t seed) : random_(seed), settings_(make(random_)), host_(settings_) {}

  void play() {
    for (std::uint32_t id = 1; id <= 8; ++id) entries_.push_back(server(id, role(id), id % 2, id % 3));
    check(host_.engineList(now_, entries_, EngineListUpdate::Scope::kCached));
    for (int step = 0; step < 6000; ++step) {
      now_ += 0.004;
      if (draw(100) < 12 && step < 5000) arrive();
      if (draw(1000) < 4) changeServer();
      answerAttempts();
      if (step % 5 == 0) check(host_.doHousekeeping(now_));
    }
    EXPECT_GT(served_, 20);
    for (const auto& [id, r] : requests_) EXPECT_TRUE(r.over) << id << " got no answer";
  }

 private:
  struct Open {
    double deadline = 0, heldSince = 0, firstRun = -1;
    bool over = false, streaming = false, held = false, out = false;
    int sends = 0;
    std::uint32_t to = 0, ranCell = 0;
    double until = 0;
    bool arrived = false;  // the attempt that is out has reached its server
    bool mayHaveRun = false;
    Idempotency effect = Idempotency::kIdempotent;
  };

  static Settings make(std::mt19937& random) {
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
    requests_[r.id.value].effect = settings_.classes[r.classIndex].idempotency;
    check(host_.feed(now_, r));
  }

  void changeServer() {
    EngineEntry& e = entries_[static_cast<std::size_t>(draw(8))];
    const bool serving = e.state == EngineEntry::State::kServing;
    e.state = serving ? (draw(2) ? EngineEntry::State::kDraining : EngineEntry::State::kRemoved)
                      : EngineEntry::State::kServing;
    if (!serving) e.startedAt = Instant(Duration(now_ - 0.5));
    check(host_.engineList(now_, {e}, EngineListUpdate::Scope::kDelta));
  }

  void answerAttempts() {
    std::vector<std::string> due;
    for (const auto& [id, r] : requests_) {
      if (r.out && now_ >= r.until) due.push_back(id);
    }
    for (const std::string& id : due) answer(id, requests_[id]);
    for (const auto& [id, r] : requests_) {
      if (r.held && !(r.out && r.arrived)) {  // one that has not arrived is not out
        EXPECT_LT(now_ - r.heldSince, settings_.stateLeaseLimit.count()) << id;
      }
      if (!r.over && !r.streaming) {
        EXPECT_LT(now_, r.deadline) << id;
      }
    }
  }

  void answer(const std::string& id, Open& r) {
    const bool reads = role(r.to) == Role::kPrefill;
    if (r.streaming) {
      r.held = r.streaming = r.out = false;
      r.over = true;
      ++served_;
      check(host_.attemptEnded(now_, id, r.to, draw(10) ? Outcome::kOk : Outcome::kReset, true));
      return;
    }
    const int luck = r.arrived ? draw(10) : 9;
    if (luck < 8 && !reads && !r.over) {
      r.streaming = true;
      r.held = false;
      r.until = now_ + 0.5;
      check(host_.streamStarted(now_, id, r.to));
      return;
    }
    Outcome outcome = Outcome::kPrefilled;
    if (!reads || luck >= 8) {
      const Outcome bad[] = {Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset, Outcome::kError,
                             Outcome::kRejected};
      outcome = bad[draw(r.arrived ? 5 : 3)];
    }
    r.out = false;
    if (outcome == Outcome::kPrefilled) r.held = true;
    if (r.held && r.arrived) r.heldSince = now_;
    const bool notRun = outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed;
    if (!reads && !notRun) {
      if (!r.mayHaveRun) r.ranCell = r.to % 2;
      r.mayHaveRun = true;
    }
    check(host_.attemptEnded(now_, id, r.to, outcome, r.over));
  }

  void check(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<StartAttempt>(&action)) sent(*send);
      if (const auto* release = std::get_if<Release>(&action)) released(requests_[release->id.value]);
      if (const auto* refuse = std::get_if<RejectRequest>(&action)) {
        Open& r = requests_[refuse->id.value];
        const bool ran = r.mayHaveRun || (r.out && role(r.to) != Role::kPrefill);
        EXPECT_TRUE(r.effect == Idempotency::kIdempotent || !ran) << "refused though it may have run";
        ended(refuse->id.value);
      }
      if (const auto* fail = std::get_if<FailRequest>(&action)) ended(fail->id.value);
    }
  }

  // A writer that waits for the state keeps it.
  void released(Open& r) {
    const bool waitsThere = r.out && r.arrived && role(r.to) != Role::kPrefill;
    if (!waitsThere) r.held = false;
  }

  void sent(const StartAttempt& send) {
    Open& r = requests_[send.id.value];
    const EngineEntry& to = entries_[send.engine.value - 1];
    EXPECT_FALSE(r.over) << "sent after its end";
    EXPECT_FALSE(r.out) << "a second attempt at once";
    EXPECT_EQ(to.state, EngineEntry::State::kServing);
    EXPECT_LE(++r.sends, settings_.maxAttempts);
    EXPECT_GT(send.timeout.count(), 0);
    if (r.mayHaveRun && r.effect != Idempotency::kIdempotent) {
      EXPECT_EQ(r.effect, Idempotency::kIdempotencyKey) << "an unsafe request went out again";
      EXPECT_EQ(to.cell, r.ranCell);
      EXPECT_LE(now_, r.firstRun + 1.5);
    }
    if (role(to.id.value) != Role::kPrefill && (r.firstRun < 0 || !r.mayHaveRun)) r.firstRun = now_;
    r.out = true;
    r.to = send.engine.value;
    r.arrived = draw(6) > 0;
    r.until = now_ + std::min(send.timeout.count(), 0.02 + draw(r.arrived ? 20 : 90) * 0.02);
  }

  void ended(const std::string& id) {
    EXPECT_FALSE(requests_[id].over) << id << " got two answers";
    EXPECT_LE(now_, requests_[id].deadline) << id;
    requests_[id].over = true;
  }

  std::mt19937 random_;
  Settings settings_;
  PolicyHost host_;
  std::vector<EngineEntry> entries_;
  std::map<std::string, Open> requests_;
  double now_ = 1;
  int count_ = 0, served_ = 0;
};

class RandomDays : public testing::TestWithParam<std::uint32_t> {};

TEST_P(RandomDays, KeepTheRules) { RandomDay(GetParam()).play(); }

INSTANTIATE_TEST_SUITE_P(Seeds, RandomDays, testing::Range(1U, 13U));

}  // namespace
}  // namespace gannetcourse::test
