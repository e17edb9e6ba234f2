// The decision module: every decision, table and tuned value. Its interface is include/gannetcourse/policy.h;
// docs/design.md tells why. The ordinary path is FlowKV's load-aware scheduler: a load score for each server,
// a reader by least time to first token, and after the read a writer by least transfer time and wait.

#include "gannetcourse/policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "fair_shares.h"
#include "prefix_table.h"
#include "records.h"
#include "reported_figures.h"
#include "tuning.h"

namespace gannetcourse {
namespace {

double sec(Duration d) { return d.count(); }

}  // namespace

class Policy::Impl {
 public:
  explicit Impl(Settings settings) : set_(std::move(settings)), random_(set_.seed) { takeSettings(); }

  void handle(Instant now, const Event& event, std::vector<Action>& actions) {
    now_ = now.time_since_epoch().count();
    out_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
    for (const RequestId& id : ended_) requests_.erase(id);
    ended_.clear();
  }

 private:
  // ---- Events ----
  void on(const EngineListUpdate& list) {
    const bool first = !std::exchange(started_, true);
    const bool saved = list.scope == EngineListUpdate::Scope::kCached;
    if (list.scope == EngineListUpdate::Scope::kFetchFailed) {
      act(SetTimer{Instant(Duration(now_ + kAskAgain * (0.5 + draw()))), {kDiscoveryRetryTimer}});
    } else {
      if (list.scope != EngineListUpdate::Scope::kDelta) {
        for (auto& [id, s] : servers_) s.entry.state = EngineEntry::State::kRemoved;
      }
      for (const EngineEntry& entry : list.entries) learnEntry(entry);
      listHeard_ = listHeard_ || !saved;
    }
    if (first && set_.subscribeToDiscovery) act(SubscribeToEngineList{});
    if (first) sweep();
  }

  void learnEntry(const EngineEntry& entry) {
    const auto [it, added] = servers_.try_emplace(entry.id);
    Server& s = it->second;
    const bool restarted = entry.startedAt && (added || entry.startedAt != s.entry.startedAt);
    if (restarted && !added) static_cast<Process&>(s) = Process{};  // nothing learned of the last one holds
    if (restarted) {
      // Starts are told by the wall clock, which may have been stepped here or where they were written: a
      // start never lies ahead, and one that is news to a node that hears the list is not old.
      const double told = entry.startedAt->time_since_epoch().count();
      const bool believed = told <= now_ && (!listHeard_ || told >= now_ - kStartToldWithin);
      s.coldSince = std::max(s.coldSince, believed ? told : now_);
      s.startSeen = now_;
      s.coldPhase = draw();
    }
    s.entry = entry;
  }

  void on(const RequestArrived& ask) {
    Request& r = requests_[ask.id];
    r.ask = ask;
    r.arrived = now_;
    const ClassSettings& c = classOf(r);
    r.deadline = now_ + sec(ask.timeUntilDeadline);
    r.aimAt =
        std::min(r.deadline, now_ + sec(c.ttftObjective) + sec(c.ttftObjectivePerToken) * ask.promptTokens);
    r.need = ask.promptTokens + expectedOutput(r);
    r.overShare = !shares_.admit(ask, now_) || ask.isRetry;
    r.parts = {static_cast<int>(ask.classIndex)};
    if (ask.tenant) r.parts.push_back(-1 - static_cast<int>(*ask.tenant));
    learn(meanPrompt_, ask.promptTokens);
    popularity_.add(ask.prefixKey, now_);
    if (set_.probeCost > 0)
      probes_ = std::min(kMostProbes, probes_ + kProbeBudget * (tellQueues_ ? 2 : 1) / set_.probeCost);
    if (now_ + margin() >= r.deadline) return finish(r);  // too late for anything but an answer
    enqueue(r);
  }

  void on(const AttemptEnded& e) {
    learnReport(e.engine, e.load);
    const auto it = requests_.find(e.id);
    if (it == requests_.end() || !it->second.out) return;
    Request& r = it->second;
    learnOutcome(r, e);
    if (r.stage == Stage::kStreaming && e.outcome == Outcome::kOk) learnStream(r, servers_[e.engine]);
    closeAttempt(r);
    if (e.requestFinished || r.answered) {
      // A state that came after the end, or one left by a failed attempt, must not stay pinned.
      if (e.outcome != Outcome::kOk) act(Release{e.id});
      requests_.erase(it);
    } else if (e.outcome == Outcome::kPrefilled) {
      r.reader = e.engine;
      r.state.begin(now_);
      r.stage = Stage::kHolding;
      r.writerFailures = 0;
      pickWriterOrHold(r);
    } else {
      onFailure(r, e);
    }
  }

  void on(const StreamStarted& e) {
    const auto it = requests_.find(e.id);
    if (it == requests_.end() || !it->second.out || it->second.stage == Stage::kStreaming) return;
    Request& r = it->second;
    Server& s = servers_[e.engine];
    learnFirstToken(r, s);
    learn(usual_[r.stage == Stage::kWriting], now_ - r.sentAt);
    releaseReader(r);
    r.state.end();
    s.queuedTokens -= r.readTokens;
    r.readTokens = 0;
    (r.stage == Stage::kReading ? s.reading : s.waiting) -= 1;
    s.streaming += 1;
    r.stage = Stage::kStreaming;
    r.streamAt = now_;
    served(s, r);
    recovered(s, r);
  }

  void on(const ProbeEnded& e) {
    learnReport(e.engine, e.load);
    drainQueue();
    Server* s = find(e.engine);
    // A probe that waits too long may only stand in a queue; one that cannot connect is a sign of illness.
    if (s != nullptr && e.outcome == Outcome::kConnectFailed) worsen(s->contact, 2);
  }

  void on(const ReservationResult&) {}  // places are not held ahead: the writer is picked after the read
  void on(const TimerFired& e) { e.timer.value == kDiscoveryRetryTimer ? act(SubscribeToEngineList{}) : sweep(); }

  void on(const ClientDisconnected& e) {
    const auto it = requests_.find(e.id);
    if (it != requests_.end() && !it->second.answered) letGo(it->second);
  }

  // All that was learned goes on; what is taken is finished under its class's old place.
  void on(const SettingsChanged& e) {
    const std::uint32_t zone = set_.zone;
    set_ = e.settings;
    set_.zone = zone;
    takeSettings();
  }

  void takeSettings() {
    shortestAim_ = 1e9;
    for (const ClassSettings& c : set_.classes) {
      if (c.inService) shortestAim_ = std::min(shortestAim_, sec(c.ttftObjective));
    }
    streamTime_.resize(set_.classes.size());
    shares_.takeSettings(set_, now_);
  }

  // ---- Housekeeping ----
  void sweep() {
    act(SetTimer{Instant(Duration(now_ + kSweep)), {kHousekeepingTimer}});
    watchRequests();
    updatePools();
    updateScores();
    updatePace();
    drainQueue();
    probeServers();
    std::erase_if(servers_, [](const auto& e) {
      return e.second.entry.state == EngineEntry::State::kRemoved && e.second.idle();
    });
    prefixes_.prune(now_);
    popularity_.prune(now_);
  }

  // Every request has its answer before the client's time is up. Guards against silence, be it a hang, a
  // stall or a cut link: a server whose work is out for longer than expected is avoided early, and its
  // attempts are called off while others could follow; with twice the patience where, as in a jam, others
  // would come late as well. One that later ones of its class have overtaken there is lost on its way: it
  // alone is called off, no server blamed.
  void watchRequests() {
    for (auto& [id, s] : servers_) s.overdue = 0;
    for (auto& [id, r] : requests_) {
      if (r.stage == Stage::kStreaming) watchStream(r);
      if (r.answered || r.stage == Stage::kStreaming) continue;
      if (r.stage == Stage::kWriting) releaseUnderWrite(r);
      if (now_ + margin() >= r.deadline) {
        finish(r);
      } else if (r.stage == Stage::kHolding) {
        pickWriterOrHold(r);
      } else if (r.out) {
        Server& s = servers_[r.server];
        const bool silent = s.answeredAt < r.sentAt;
        const double late = now_ - r.sentAt - patience(r);
        if (silent) s.overdue = std::max(s.overdue, late + patience(r) / 2);
        r.overtaken = !silent && overtakenAt(s, r);
        const bool ends = (silent || r.overtaken) && late > (now_ + r.expected > r.aimAt ? patience(r) : 0);
        if (!ends || r.calledOff || !set_.cancelAllowed || !mayTryOn(r)) continue;
        r.calledOff = true;
        act(CancelAttempt{id, r.sends - 1});
      }
    }
  }

  static bool overtakenAt(const Server& s, const Request& r) {
    const auto it = s.answeredSent.find(r.ask.classIndex);
    return it != s.answeredSent.end() && it->second > r.sentAt;
  }

  // How long a writer's streams last, running ones too: time streamed over answers ended. Guards against
  // writers that age or share their machine: their first tokens still come in time. It counts against the
  // middle of all writers: to a node that has just started only short answers have ended, and all would look
  // slow.
  double pace(const Server& s) const {
    return (s.streamed.get(now_, kPaceMemory) + kPacePrior) /
           (s.finished.get(now_, kPaceMemory) + kPacePrior);
  }

  void updatePace() {
    std::vector<double> paces;
    for (const auto& [id, s] : servers_) {
      if (s.writes() && s.serving()) paces.push_back(pace(s));
    }
    if (!paces.empty()) usualPace_ = std::max(1.0, middleOf(std::move(paces)));
  }

  void watchStream(const Request& r) {
    const double usual = streamTime_[r.ask.classIndex];
    Fading& streamed = servers_[r.server].streamed;
    if (usual > 0) streamed.set(streamed.get(now_, kPaceMemory) + kSweep / usual, now_);
  }

  // What is usual follows the median, so that a few slow writers do not become it.
  void learnStream(const Request& r, Server& s) {
    double& usual = streamTime_[r.ask.classIndex];
    const double took = now_ - r.streamAt;
    usual = usual <= 0 ? took : usual * (1 + (took < usual ? -kPaceStep : kPaceStep));
    s.finished.set(s.finished.get(now_, kPaceMemory) + 1, now_);
  }

  double margin() const { return kSweep + 2 * sec(set_.tick) + 0.002; }

  // How long an attempt may take before its server counts as silent; in a jam all of them take long.
  double patience(const Request& r) const {
    const double usual = std::max(r.expected, figure(usual_[r.stage == Stage::kWriting], 0));
    return std::max(kTimeoutFactor * usual, kSilentShare * (r.aimAt - r.arrived)) * (1 + r.timeouts);
  }

  // Whether a further attempt could still be made, should this one end without an answer.
  bool mayTryOn(const Request& r) const {
    const bool effectDone = runsEffect(r) && classOf(r).idempotency == Idempotency::kAtMostOnce;
    return !effectDone && r.sends + (r.stage == Stage::kReading ? 2 : 1) <= set_.maxAttempts;
  }

  // A request that is alone goes at once, others with the next sweep.
  void enqueue(Request& r) {
    enqueueForSweep(r);
    if (queue_.size() == 1) drainQueue();
  }
  void enqueueForSweep(const Request& r) { queue_.emplace(r.aimAt, r.ask.id); }

  void drainQueue() {
    int held = 0;
    for (auto next = queue_.begin(); next != queue_.end() && held < kMostHeldTried;) {
      const auto it = requests_.find(next->second);
      const bool waits = it != requests_.end() && !it->second.answered && it->second.stage == Stage::kQueued;
      const bool stays = waits && !dispatch(it->second);
      held += stays;
      next = stays ? std::next(next) : queue_.erase(next);
    }
  }

  // Probes serve the load reports. What they may cost is saved up by the request: first come the readers that
  // it would go to and the writers that its read would, what is left looks round.
  void probeServers() {
    for (auto& [id, s] : servers_) {
      if (probes_ >= kMostProbes / 2 && s.writes()) probe(s);
    }
  }

  bool mayProbe() const {
    return set_.probesAllowed && set_.loadReportSource != LoadReportSource::kNone &&
           (set_.probeCost <= 0 || probes_ >= 1);
  }

  void probe(Server& s) {
    if (!mayProbe() || !s.serving() || now_ < s.nextProbe) return;
    if (set_.probeCost > 0) probes_ -= 1;
    s.nextProbe = now_ + kProbeOften;
    act(Probe{s.entry.id});
  }

  // ---- The load score ----
  // Equal weights over the indicators at hand, each brought to 0..1 and smoothed; an indicator that a server
  // has not told counts as the average of its role.
  using Indicators = std::array<std::optional<double>, 5>;  // the first three are counts, the others shares
  Indicators indicators(const Server& s) const {
    const LoadReport told = fresh(s) ? s.report : LoadReport{};
    return {s.unanswered(), s.streaming, s.sending, told.memoryUtilization, told.slotUtilization};
  }

  void updateScores() {
    std::map<Role, std::array<std::pair<double, double>, 5>> totals;  // of each role: sums and counts
    for (const auto& [id, s] : servers_) {
      const Indicators told = indicators(s);
      for (std::size_t i = 0; i < told.size() && s.serving(); ++i) {
        totals[s.entry.role][i].first += told[i].value_or(0);
        totals[s.entry.role][i].second += told[i].has_value();
      }
    }
    for (auto& [id, s] : servers_) {
      const Indicators told = indicators(s);
      double sum = 0, terms = 0;
      for (std::size_t i = 0; i < told.size(); ++i) {
        const auto [total, count] = totals[s.entry.role][i];
        if (count == 0) continue;
        const double mean = total / count, mine = told[i].value_or(mean);
        sum += i > 2 ? mine : mean > 0 ? mine / (mine + mean) : 0.5;
        terms += 1;
      }
      if (terms > 0) s.score += (sum / terms - s.score) * kSweep / kScoreWindow;
    }
    readPrior_ = readCosts_.middle(now_ - kSeen, kReadPrior);
    waitPrior_ = waits_[true].middle(now_ - kSeen, kWaitPrior);
    queuePrior_ = waits_[false].middle(now_ - kSeen, 0);
  }

  bool fresh(const Server& s) const { return now_ - s.reportAt < kReportFresh; }

  // ---- Estimates ----
  // Seconds a prompt token where nothing waits: in a jam all reads wait, so it follows the quickest tenth.
  // Only a reader that stands out counts as slow, or sessions would move for noise and lose what is kept.
  double readRate(const Server& s) const {
    const double slower = figure(s.readCost, readPrior_) / readPrior_;
    return readBase_ * (slower > kOutlier ? slower : 1);
  }

  double readTime(const Server& s, double tokens) const {
    const double weight = ownWeight(pool(s).queued),
                 all = s.queuedTokens * (1 + (set_.routerCount - 1) * weight);
    const double mine = tokens + kReadFloorTokens;
    if (now_ - s.reportAt < kRecent &&
        s.report.requestsQueued) {  // it has just told what all nodes have there
      const double told = *s.report.requestsQueued * (figure(meanFresh_, kFreshPrior) + kReadFloorTokens);
      return readRate(s) * (std::max(s.queuedTokens, told) + mine);
    }
    return readRate(s) * (all + mine) + (1 - weight) * figure(s.wait, queuePrior_);
  }

  // What all nodes have at a server, from our own part of it. The less of it there is, the less it tells, and
  // the more counts what we have at its peers (a Poisson count with a gamma prior round their mean).
  double ofAllNodes(double own, double mean) const {
    const double weight = ownWeight(mean);
    return own + (set_.routerCount - 1) * (weight * own + (1 - weight) * mean);
  }
  double ownWeight(double mean) const { return mean / (mean + figure(meanPrompt_, 1000)); }

  const Pool& pool(const Server& s) const { return pools_[static_cast<std::size_t>(s.entry.role)]; }

  double ill(const Server& s, const Request& r) const { return illness(s, r) + std::max(0.0, s.overdue); }

  static int linkKind(const Server& from, const Server& to) {
    if (from.entry.zone != to.entry.zone) return 2;
    return from.entry.cell == to.entry.cell ? 0 : 1;
  }

  double transferTime(const Server& from, int kind, double tokens) const {
    const auto it = links_.find({from.entry.cell, kind});
    const double rate = it == links_.end()
                            ? kLinkPrior[kind]
                            : it->second.get(now_, kLinkPrior[kind], kLinkForget, kPriorWeight);
    return rate * tokens + kFarBias * kind;
  }

  // Share of a writer's memory that is held: as reported, else by our own record.
  double filled(const Server& s) const {
    const LoadReport told = fresh(s) ? s.report : LoadReport{};
    const double all = ofAllNodes(s.heldTokens, pool(s).held) / room(s);
    const double since = std::min(all, s.recent.get(now_, kRecent) * set_.routerCount / 2 / room(s));
    return std::max({told.memoryUtilization ? *told.memoryUtilization + since : all, s.heldTokens / room(s),
                     told.slotUtilization.value_or(0)});
  }

  // One with a queue, or that this request would fill, yields to the next.
  double writerWait(const Server& s, const Request& r) const {
    const double after = filled(s) + r.need / room(s);
    const bool queues = fresh(s) && s.report.requestsQueued.value_or(0) >= 1;
    double wait = figure(s.wait, waitPrior_) * (0.5 + s.score) + ill(s, r);
    if (after > kNearlyFull || queues) wait += kYieldShare * shortestAim_;
    wait += kYieldShare * shortestAim_ * std::max(0.0, pace(s) / usualPace_ - kSlowPace);
    return wait + 3 * std::max(0.0, after - kNearlyFull);
  }

  double expectedOutput(const Request& r) const {
    const double pace = sec(classOf(r).interTokenObjective);
    if (r.ask.expectedOutputDuration && pace > 0) return sec(*r.ask.expectedOutputDuration) / pace;
    return r.ask.maxOutputTokens / 3;
  }

  // ---- The prefix table ----
  // What the server is taken to keep of a prompt: by our own record, or as the home of its session. With many
  // nodes a session's turns come to different ones; its home is where all of them send what they know nothing
  // of. That only holds while all do, so it is no learned figure.
  double credit(const Server& s, const Request& r, const Server* home) const {
    const double own =
        std::max(keptAt(r.ask.sessionKey, s), std::min(keptAt(r.ask.prefixKey, s), r.ask.prefixTokens));
    return std::min(r.ask.promptTokens, std::max(own, &s == home ? kHomeKeeps * r.ask.promptTokens : 0));
  }

  // The home of a session: rendezvous hashing, alike on all nodes of a zone, better odds for near readers.
  const Server* homeOf(const Request& r) const {
    const Server* home = nullptr;
    double first = 1e18;
    const std::uint64_t key = homeKey(r);
    for (const auto& [id, s] : servers_) {
      if (!s.serving() || s.entry.role == Role::kDecode || key == 0) continue;
      const double lot = std::max(1e-18, unitOf(hashOf(key, id.value)));
      const double place = -std::log(lot) / (s.entry.zone == set_.zone ? kNearHome : 1);
      if (place >= first) continue;
      first = place;
      home = &s;
    }
    return home;
  }

  // A beginning that sessions share is kept best where all of them are read: their homes go by it, on as many
  // readers as its part of the requests asks for.
  std::uint64_t homeKey(const Request& r) const {
    if (r.ask.prefixKey == 0) return r.ask.sessionKey;
    const double part = popularity_.partOf(r.ask.prefixKey, now_);
    const double homes = 1 + kHomesSpread * part * pools_[static_cast<std::size_t>(Role::kPrefill)].servers;
    return hashOf(r.ask.prefixKey, static_cast<std::uint64_t>(unitOf(hashOf(r.ask.sessionKey, 2)) * homes));
  }

  double keptAt(std::uint64_t key, const Server& s) const {
    return prefixes_.keptAt(key, s.entry.id, s.startSeen, now_);
  }
  void keep(std::uint64_t key, const Server& s, double tokens) {
    prefixes_.keep(key, s.entry.id, tokens, now_);
  }

  // ---- Who may be sent what ----
  // A server that looks ill is passed over; while it recovers it has one request at a time on trial.
  bool mayTake(const Server& s, const Request& r, bool strict) const {
    if (!s.serving() || !withinColdBudget(s, r)) return false;
    if (!strict) return true;
    const double level = illness(s, r);
    if (level >= kEjectAt || (level >= kEjectAt / 2 && s.unanswered() > 0)) return false;
    return std::find(r.failedOn.begin(), r.failedOn.end(), s.entry.id) == r.failedOn.end();
  }

  // A cold server gets no more than this node's part of what it can do, in any window; where that is less
  // than one request, one in a longer time, and the first after a part of that time by lot: nodes that hear
  // of it together must not all greet it, nor, one window longer, turn to it together as it gets warm. The
  // most that the role's servers served for us on average stands for a warm one. Back from lost contact is
  // cold, too.
  bool withinColdBudget(const Server& s, const Request& r) const {
    const double age = std::max(0.0, now_ - s.coldSince), warm = sec(set_.slowStartDuration);
    if (age >= warm + sec(set_.slowStartWindow)) return true;
    const double able =
        set_.slowStartInitialCapacity + (1 - set_.slowStartInitialCapacity) / 2 * std::min(1.0, age / warm);
    const double part = set_.slowStartOverloadFactor * able * pool(s).most * sec(set_.slowStartWindow);
    const double budget = std::max(part, std::min(1.0, kColdUnknown / set_.routerCount)),
                 weight = sendWeight(r);
    const double span = sec(set_.slowStartWindow) * std::max(1.0, weight / budget);
    if (budget < weight && now_ - s.startSeen < s.coldPhase * span) return false;
    double spent = 0;
    for (const auto& [at, sent] : s.coldSends) spent += at > now_ - span ? sent : 0;
    return spent + weight <= std::max(budget, weight);
  }

  void updatePools() {
    std::array<Pool, 4> now{};
    for (const auto& [id, s] : servers_) {
      Pool& p = now[static_cast<std::size_t>(s.entry.role)];
      p.servers += s.serving();
      p.queued += s.queuedTokens;
      p.held += s.heldTokens;
    }
    for (std::size_t role = 0; role < pools_.size(); ++role) {
      Pool& p = pools_[role];
      p.servers = std::max(1.0, now[role].servers);
      p.queued += (now[role].queued / p.servers - p.queued) * kSweep / kForget;
      p.held += (now[role].held / p.servers - p.held) * kSweep / kForget;
      p.rate += (std::exchange(p.served, 0) / p.servers - p.rate * kSweep) / kForget;
      p.most = std::max(p.rate, p.most * (1 - kSweep / kColdMemory));
    }
  }

  void served(const Server& s, const Request& r) {
    pools_[static_cast<std::size_t>(s.entry.role)].served += sendWeight(r);
  }

  double sendWeight(const Request& r) const {
    return std::max(1.0, r.ask.promptTokens / std::max(1.0, figure(meanPrompt_, 1000)));
  }

  // No effect twice: after an attempt that may have run, an unsafe request goes nowhere and a keyed one only
  // where and while repeats are dropped (a send leaves once it is connected, or the machine goes on), not
  // even to a reader elsewhere.
  bool mayRunOn(const Request& r, const Server& s) const {
    const ClassSettings& c = classOf(r);
    if (!r.mayHaveRun || c.idempotency == Idempotency::kIdempotent) return true;
    const double leavesAt = now_ + sec(set_.connectTimeout) + kHoldUp;
    if (c.idempotency == Idempotency::kAtMostOnce || leavesAt > r.firstRunAt + sec(c.dedupWindow))
      return false;
    if (c.dedupScope == DedupScope::kZone) return s.entry.zone == r.ranOn.zone;
    return c.dedupScope == DedupScope::kAll || s.entry.cell == r.ranOn.cell;
  }

  // What is still out proves nothing yet, at a reader neither: only how it ends tells.
  bool mayRefuse(const Request& r) const {
    const ClassSettings& c = classOf(r);
    const bool ran = r.mayHaveRun || r.out;
    return !ran || c.idempotency == Idempotency::kIdempotent ||
           (c.idempotency == Idempotency::kIdempotencyKey && c.dedupScope == DedupScope::kAll);
  }

  static bool runsEffect(const Request& r) { return r.whole || r.stage == Stage::kWriting; }

  // ---- The picks ----
  struct Plan {
    Server* server = nullptr;
    double cost = 1e18, time = 0, onward = 0, kept = 0;
    bool whole = false;

    bool offer(const Request& r, Server& s, double price) {
      if (price > cost || (price == cost && tie(r, s) >= tie(r, *server))) return false;
      server = &s;
      cost = price;
      return true;
    }
  };

  // The reader with the least time to first token: its queue, this prompt less what it keeps, and the
  // cheapest writer after it. Mixed servers take a request whole where that is sooner; writers that can read
  // do so only when nothing else is left.
  Plan planRead(const Request& r, bool strict) {
    Plan best;
    const Onward onward = planOnward(r, true);
    const Server* const home = homeOf(r);
    for (auto& [id, s] : servers_) {
      const bool whole = !s.reads();
      if ((whole && !readsWhole(s)) || !mayRunOn(r, s) || !mayTake(s, r, strict)) continue;
      const double kept = credit(s, r, home), fresh = r.ask.promptTokens - kept;
      const double time = readTime(s, fresh);
      double cost = time + kMissWeight * readRate(s) * fresh + kScoreTime * s.score + ill(s, r) +
                    (s.entry.zone == set_.zone ? 0 : kFarBias);
      const double then = whole ? writerWait(s, r) : onwardFrom(s, r, onward);
      cost += then;
      if (s.entry.role == Role::kDecode) cost += kLastResort;
      if (best.offer(r, s, cost)) best.time = time, best.onward = then, best.whole = whole, best.kept = kept;
    }
    return best;
  }

  // The least writer's cost, its transfer left out, in each cell, in each zone and anywhere: so that ranking
  // the readers takes one pass over them and one over the writers.
  using Onward = std::map<std::pair<int, std::uint32_t>, double>;
  static std::uint32_t reach(int kind, const Server& s) {
    return kind == 0 ? s.entry.cell : kind == 1 ? s.entry.zone : 0;
  }
  Onward planOnward(const Request& r, bool strict) const {
    Onward least;
    for (const auto& [id, s] : servers_) {
      if (!s.writes() || !mayTake(s, r, strict) || !mayRunOn(r, s)) continue;
      const double cost = writerCost(s, r);
      for (int kind = 0; kind < 3; ++kind) {
        double& best = least.try_emplace({kind, reach(kind, s)}, cost).first->second;
        best = std::min(best, cost);
      }
    }
    return least.empty() && strict ? planOnward(r, false) : least;
  }

  double onwardFrom(const Server& s, const Request& r, const Onward& least) const {
    double best = shortestAim_;
    for (int kind = 0; kind < 3; ++kind) {
      const auto it = least.find({kind, reach(kind, s)});
      if (it != least.end()) best = std::min(best, it->second + transferTime(s, kind, r.ask.promptTokens));
    }
    return best;
  }

  bool readsWhole(const Server& s) const {
    return s.entry.role == Role::kMixed || (s.entry.role == Role::kDecode && set_.decodeCanPrefill);
  }

  // The writer with least transfer time and wait. Mixed servers fetch states only when no pure writer can.
  Plan planWrite(const Request& r, const Server& reader, bool strict) {
    Plan best;
    for (auto& [id, s] : servers_) {
      if (!s.writes() || !mayTake(s, r, strict) || !mayRunOn(r, s)) continue;
      best.offer(r, s, transferTime(reader, linkKind(reader, s), r.ask.promptTokens) + writerCost(s, r));
    }
    return best;
  }

  double writerCost(const Server& s, const Request& r) const {
    const double ahead = s.waiting * figure(s.wait, waitPrior_);  // our own that wait there already
    return writerWait(s, r) + ahead + (s.entry.role == Role::kMixed ? kLastResort : 0);
  }

  // Order among equals: one shared prefix leads all nodes to the same reader; writers go by session.
  static std::uint64_t tie(const Request& r, const Server& s) {
    return hashOf(r.ask.prefixKey != 0 && s.reads() ? r.ask.prefixKey : r.ask.sessionKey, s.entry.id.value);
  }

  // ---- A request's life ----
  // Tries to send a queued request. True when it is out or over; false when it should wait here.
  bool dispatch(Request& r) {
    Plan plan = planRead(r, true);
    if (plan.server == nullptr) plan = planRead(r, false);
    if (plan.server != nullptr) {
      if (now_ + plan.time >= r.deadline || r.sends + (plan.whole ? 1 : 2) > set_.maxAttempts)
        return finish(r), true;
      const double room = roomOf(r) * (r.overShare ? kOverShareRoom : 1), then = plan.time + plan.onward;
      const Server& reader = *plan.server;
      const double queued = set_.routerCount * pool(reader).queued / figure(meanPrompt_, 1000);
      // The room is for queues. What a long prompt reads beyond thrice the usual adds to it, or a jam would
      // turn away just these; where readers have no queue, such a prompt may take its own aim.
      const bool none = !r.overShare && queued < kNoQueue && reader.unanswered() == 0;
      const double beyond = r.ask.promptTokens - plan.kept - kLongRead * figure(meanFresh_, kFreshPrior);
      const double more = r.overShare ? 0 : readRate(reader) * std::max(0.0, beyond);
      if (then <= kLetIn * (room + more) || (none && now_ + then <= r.aimAt)) {
        if (looksFirst(r, *plan.server)) return false;
        return sendRead(r, plan), true;
      }
    }
    // Long queues at readers push out the text they keep and so slow them further. Waiting here costs no
    // server anything, but what cannot come in time is refused early.
    if (now_ <= (r.arrived + r.aimAt) / 2) return false;
    return finish(r), true;
  }

  // The aim that a request may fill queues up to: its own, and no more than that of a class worth more.
  double roomOf(const Request& r) const {
    double least = r.aimAt - r.arrived;
    for (const ClassSettings& c : set_.classes) {
      if (c.inService && c.priorityWeight > classOf(r).priorityWeight)
        least = std::min(least, sec(c.ttftObjective) + sec(c.ttftObjectivePerToken) * r.ask.promptTokens);
    }
    return least;
  }

  // With many nodes the most of a reader's queue is others'. Where readers tell it, the one picked is asked
  // before the read is sent, and the pick made again with what it said; a request waits that long here.
  bool looksFirst(Request& r, Server& s) {
    if (now_ - s.reportAt < kRecent) return false;
    if (r.lookedAt == s.entry.id && now_ < r.lookUntil) return true;
    if (figure(toldQueue_, 0) < kLookFrom) return false;
    if (r.looks >= kMostLooks || !mayProbe() || now_ < s.nextProbe) return false;
    probe(s);
    ++r.looks;
    r.lookedAt = s.entry.id;
    r.lookUntil = now_ + kLookTime;
    return true;
  }

  void sendRead(Request& r, const Plan& plan) {
    Server& s = *plan.server;
    r.readTokens = r.ask.promptTokens - plan.kept + kReadFloorTokens;
    r.whole = plan.whole;
    s.queuedTokens += r.readTokens;
    s.reading += 1;
    keep(r.ask.prefixKey, s, r.ask.prefixTokens);  // who comes next on this server finds it read
    r.stage = Stage::kReading;
    send(r, s, plan.time + (plan.whole ? figure(s.wait, waitPrior_) : 0));
    if (plan.whole || !mayProbe()) return;
    if (Server* const writer = planWrite(r, s, true).server)
      probe(*writer);  // told of by the end of the read
  }

  void pickWriterOrHold(Request& r) {
    Server* const reader = find(r.reader);
    if (r.sends >= set_.maxAttempts || reader == nullptr) return finish(r);
    Server* s = planWrite(r, *reader, true).server;
    if (s == nullptr) s = planWrite(r, *reader, false).server;
    if (s != nullptr) {
      r.stage = Stage::kWriting;
      r.whole = false;
      s->waiting += 1;
      reader->sending += 1;
      return send(
          r, *s,
          transferTime(*reader, linkKind(*reader, *s), r.ask.promptTokens) + figure(s->wait, waitPrior_));
    }
    if (!mayHold(r)) finish(r);
  }

  // Nothing may stay pinned: a state that no writer has taken is let go well before the limit.
  bool mayHold(const Request& r) const {
    const double limit = sec(set_.stateLeaseLimit);
    return limit <= 0 || r.state.age(now_) <= kHoldShare * limit - 2 * kSweep;
  }

  // Its write may be on a path or with an engine that has fallen silent. The write goes on: a writer that it
  // has reached keeps the state.
  void releaseUnderWrite(Request& r) {
    if (!r.state.waits() || mayHold(r)) return;
    r.state.releaseUnderWrite();
    act(Release{r.ask.id});
  }

  void send(Request& r, Server& s, double expected) {
    r.server = s.entry.id;
    r.out = true;
    r.sentAt = now_;
    r.expected = expected;
    r.calledOff = r.overtaken = false;
    ++r.sends;
    if (runsEffect(r)) {
      s.heldTokens += r.need;
      s.recent.set(s.recent.get(now_, kRecent) + r.need, now_);
    }
    s.coldSends.emplace_back(now_, sendWeight(r));
    while (s.coldSends.front().first < now_ - sec(set_.slowStartDuration)) s.coldSends.pop_front();
    // Where attempts can be called off, silence ends them; the time-out only leaves room for another try.
    const double most = (r.deadline - now_) * (mayTryOn(r) ? kTryShare : 1);
    const double timeout = set_.cancelAllowed ? most : std::min(most, patience(r));
    const double kept = r.stage == Stage::kReading ? r.ask.promptTokens + kReadFloorTokens - r.readTokens : 0;
    act(StartAttempt{r.ask.id, s.entry.id, Duration(timeout), Duration(expected), kept});
  }

  // Takes the attempt out of our own record.
  void closeAttempt(Request& r) {
    Server& s = servers_[r.server];
    if (r.stage == Stage::kStreaming) s.streaming -= 1;
    if (r.stage == Stage::kReading) s.reading -= 1;
    if (r.stage == Stage::kWriting) s.waiting -= 1;
    if (runsEffect(r) || r.stage == Stage::kStreaming) s.heldTokens -= r.need;
    s.queuedTokens -= r.readTokens;
    releaseReader(r);
    r.readTokens = 0;
    r.out = false;
  }

  void releaseReader(const Request& r) {
    if (r.stage == Stage::kWriting) servers_[r.reader].sending -= 1;
  }

  void onFailure(Request& r, const AttemptEnded& e) {
    if (r.stage == Stage::kStreaming) return finish(r);
    if (runsEffect(r) && !neverRan(e.outcome) && !r.mayHaveRun) {
      r.mayHaveRun = true;
      r.firstRunAt = r.sentAt;
      r.ranOn = servers_[e.engine].entry;
    }
    if (e.outcome == Outcome::kTimeout || r.calledOff) ++r.timeouts;
    r.failedOn.push_back(e.engine);
    bool spent = r.mayHaveRun;  // and no server may run it again
    for (const auto& [id, s] : servers_) spent = spent && !(s.serving() && mayRunOn(r, s));
    if (spent || e.outcome == Outcome::kNotSent) return finish(r);
    if (e.outcome == Outcome::kStateLost) r.state.end();
    if (r.state.waits() && ++r.writerFailures < 3 && mayHold(r)) {
      r.stage = Stage::kHolding;
      return pickWriterOrHold(r);
    }
    const bool released = r.state.mayRemain();
    if (released) act(Release{r.ask.id});
    r.state.end();
    r.stage = Stage::kQueued;
    r.whole = false;
    // A release that comes after the new read would take its state: that read goes out with the next sweep.
    released ? enqueueForSweep(r) : enqueue(r);
  }

  // The one place where the module ends a request.
  void finish(Request& r) {
    if (r.answered) return;
    if (mayRefuse(r)) {
      act(RejectRequest{r.ask.id, set_.clientsHonorRetryAfter ? set_.maxRetryAfter : Duration(0)});
    } else {
      act(FailRequest{r.ask.id});
    }
    letGo(r);
  }

  // Nothing more is sent for it; what is out is called off and what is held is let go.
  void letGo(Request& r) {
    r.answered = true;
    if (!r.out) ended_.push_back(r.ask.id);
    if (r.out && set_.cancelAllowed) act(CancelAttempt{r.ask.id, r.sends - 1});
    if (r.sends > 0) act(Release{r.ask.id});
  }

  // ---- Learning ----
  void learnReport(EngineId id, const std::optional<LoadReport>& load) {
    Server* s = find(id);
    if (s == nullptr || !load) return;
    s->report = believable(*load);
    tellQueues_ = tellQueues_ || load->requestsQueued;
    if (s->reads() && load->requestsQueued) learn(toldQueue_, *s->report.requestsQueued);
    s->reportAt = now_;
  }

  void learnOutcome(const Request& r, const AttemptEnded& e) {
    Server* const s = find(e.engine);
    if (s == nullptr) return;
    const bool read = e.outcome == Outcome::kPrefilled;
    if (read) {
      learn(usual_[0], sec(e.elapsed));
      const double fresh = r.ask.promptTokens - believableKept(e.cachedTokens, r.ask.promptTokens);
      learn(meanFresh_, fresh);
      if (s->reads()) learnWait(*s, sec(e.elapsed) - readRate(*s) * (fresh + kReadFloorTokens));
      const double cost = sec(e.elapsed) / (fresh + kReadFloorTokens);
      readCosts_.add(cost, now_);
      readBase_ += (cost < readBase_ ? kBaseStep : kBaseStep / 9) * (cost - readBase_);
      learn(s->readCost, cost);
      served(*s, r);
      keep(r.ask.sessionKey, *s, r.ask.promptTokens);
      keep(r.ask.prefixKey, *s, r.ask.prefixTokens);
    }
    if (read || e.outcome == Outcome::kOk) return recovered(*s, r);
    const bool silent = r.calledOff || e.outcome == Outcome::kTimeout;
    if (silent) learn(usual_[r.stage == Stage::kWriting], sec(e.elapsed));  // as long as that, at least
    if (silent && learnSlowLink(r, *s, sec(e.elapsed))) return;
    if (r.calledOff && r.overtaken) return;
    if (r.calledOff) return blame(*s, r, Outcome::kTimeout);
    const bool ours = e.outcome == Outcome::kCancelled || e.outcome == Outcome::kNotSent;
    if (!ours && e.outcome != Outcome::kStateLost) blame(*s, r, e.outcome);
  }

  void learnWait(Server& s, double wait) {
    learn(s.wait, std::max(0.0, wait));
    waits_[s.writes()].add(std::max(0.0, wait), now_);
  }

  static bool neverRan(Outcome outcome) {
    return outcome == Outcome::kRejected || outcome == Outcome::kStateLost ||
           outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
  }

  void learnFirstToken(const Request& r, Server& s) {
    const double took = now_ - r.sentAt;
    const Server* reader = find(r.reader);
    if (r.stage == Stage::kReading || reader == nullptr) return;
    const int kind = linkKind(*reader, s);
    if (kind == 0) return learnWait(s, took - transferTime(*reader, kind, r.ask.promptTokens));
    const double moved = std::max(0.0, took - figure(s.wait, waitPrior_)) / (r.ask.promptTokens + 1);
    learnLink(*reader, kind, moved);
  }

  // A state that does not come over a link in time tells of the link, which all readers of its cell share; to
  // learn only from those that came made full links look quick, and blamed the writers that waited.
  bool learnSlowLink(const Request& r, const Server& writer, double took) {
    const Server* reader = find(r.reader);
    if (r.stage != Stage::kWriting || reader == nullptr) return false;
    const int kind = linkKind(*reader, writer);
    if (kind > 0) learnLink(*reader, kind, took / (r.ask.promptTokens + 1));
    return kind > 0;
  }

  void learnLink(const Server& reader, int kind, double token) {
    links_[{reader.entry.cell, kind}].add(token, now_, kLinkForget, kMemory);
  }

  // ---- Health ----
  // Outlier ejection from symptoms: errors, refusals, silence and lost contact. A server may be ill for one
  // class or one tenant only, so each has its record, and the healthier of a request's two counts: neither do
  // the others' successes hide such an illness, nor does it cost them the server. Silence ejects nobody when
  // half of the role is out already: then the cause may be a link or the load.
  double illness(const Server& s, const Request& r) const {
    double least = 1e9;
    for (const int part : r.parts) {
      const auto it = s.illness.find(part);
      least = std::min(least, it == s.illness.end() ? 0 : level(it->second));
    }
    return std::max({least, level(s.contact), level(s.suspect)});
  }

  void blame(Server& s, const Request& r, Outcome outcome) {
    const bool contact = outcome == Outcome::kConnectFailed || outcome == Outcome::kReset;
    if (contact) suspectCell(s);
    // One connection may be reset for itself; a process that is gone breaks several, and takes no new ones.
    if (contact) return worsen(s.contact, outcome == Outcome::kReset ? 1 : 2);
    const bool silent = outcome == Outcome::kTimeout;
    if (silent && tooManyOut(s.entry.role, r)) return;
    for (const int part : r.parts) worsen(s.illness[part], silent ? 2 : 1);
  }

  // Servers of a cell share power and switch: when contact is lost with a second of them, the others are on
  // trial, until each has answered. Guards against learning of a lost rack one server at a time.
  void suspectCell(const Server& lost) {
    const auto alike = [&](const Server& s) { return s.entry.cell == lost.entry.cell && &s != &lost; };
    const bool second = std::any_of(servers_.begin(), servers_.end(), [&](const auto& e) {
      return alike(e.second) && level(e.second.contact) >= kEjectAt;
    });
    if (!second) return;
    std::set<Role> elsewhere;  // where a cell is all there is, passing it over helps nobody
    for (const auto& [id, s] : servers_) {
      if (s.entry.cell != lost.entry.cell && s.serving() && level(s.contact) < kEjectAt)
        elsewhere.insert(s.entry.role);
    }
    for (auto& [id, s] : servers_) {
      const bool quiet = s.answeredAt < now_ - kSuspectAfter;
      if (alike(s) && quiet && elsewhere.count(s.entry.role) > 0) worsen(s.suspect, 1);
    }
  }

  bool tooManyOut(Role role, const Request& r) const {
    int ejected = 1, all = 0;
    for (const auto& [id, s] : servers_) {
      all += s.entry.role == role && s.serving();
      ejected += s.entry.role == role && s.serving() && illness(s, r) >= kEjectAt;
    }
    return 2 * ejected > all;
  }

  void recovered(Server& s, const Request& r) {
    s.answeredAt = now_;
    double& last = s.answeredSent[r.ask.classIndex];
    last = std::max(last, r.sentAt);
    for (const int part : r.parts) s.illness[part].set(kHealing * level(s.illness[part]), now_);
    if (level(s.contact) >= kEjectAt) s.coldSince = std::max(s.coldSince, now_);  // slow start
    s.contact = s.suspect = {};
  }

  // ---- Small things ----
  void learn(Learned& figure, double sample) { figure.add(sample, now_, kForget, kMemory); }
  double figure(const Learned& f, double prior) const { return f.get(now_, prior, kForget, kPriorWeight); }
  double level(const Fading& f) const { return f.get(now_, kForget); }
  void worsen(Fading& f, double steps) { f.set(std::min(kMostIll, level(f) + steps * kFailureStep), now_); }
  static double room(const Server& s) {
    return s.entry.memoryTokens > 0 ? s.entry.memoryTokens : kMemoryPrior;
  }
  Server* find(EngineId id) {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
  }
  const ClassSettings& classOf(const Request& r) const { return set_.classes.at(r.ask.classIndex); }
  void act(Action action) { out_->push_back(std::move(action)); }
  double draw() { return unitOf(random_ = hashOf(random_, 1)); }

  Settings set_;
  std::uint64_t random_;
  double now_ = 0, shortestAim_ = 1e9;
  bool started_ = false, tellQueues_ = false;
  bool listHeard_ = false;  // a list that is not the saved one
  std::vector<Action>* out_ = nullptr;
  std::map<EngineId, Server> servers_;
  std::map<RequestId, Request> requests_;
  std::set<std::pair<double, RequestId>> queue_;  // requests that wait here, tightest aim first
  std::vector<RequestId> ended_;
  PrefixTable prefixes_;
  PrefixPopularity popularity_;
  FairShares shares_;
  std::map<std::pair<std::uint32_t, int>, Learned> links_;  // a token's move, by reader's cell and link kind
  std::array<Pool, 4> pools_;                               // by role
  double probes_ = 1;                                       // that may be sent now
  std::vector<double> streamTime_;  // what a class's streams usually last; 0 = not known
  Learned meanPrompt_, meanFresh_, toldQueue_;
  Learned usual_[2];             // time that reads, and writers' first tokens, took lately
  Recent readCosts_, waits_[2];  // a token's reading; waits at readers and at writers
  double readBase_ = kReadPrior, readPrior_ = kReadPrior, waitPrior_ = kWaitPrior, queuePrior_ = 0,
         usualPace_ = 1;
};

Policy::Policy(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
Policy::~Policy() = default;

void Policy::handle(Instant now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace gannetcourse
