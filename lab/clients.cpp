#include "clients.h"

#include <algorithm>
#include <cmath>

#include "gannetcourse/v1/chat.pb.h"

namespace gannetcourse::lab {
namespace {

constexpr std::size_t kChannels = 2;       // connections to each node
constexpr std::size_t kLiveSessions = 64;  // of a class that may go on
constexpr double kWatchdog = 3;            // past a try's deadline: then nothing comes any more
constexpr double kSlowReader = 0.4;        // seconds for which a slow reader takes nothing, again and again

}  // namespace

Clients::Clients(Fabric& fabric, const Day& day, std::uint64_t seed)
    : fabric_(fabric), day_(day), random_(seed), sessions_(day.classes.size()) {
  service_.asksOf.resize(day.classes.size());
  service_.inTimeOf.resize(day.classes.size());
}

Clients::~Clients() { *alive_ = false; }

void Clients::addNode(const std::string& zone, const net::Endpoint& endpoint) {
  Node node{zone, {}};
  for (std::size_t i = 0; i < kChannels; ++i) {
    grpc::ChannelOptions options;
    options.maxConnections = 1;
    options.connectTimeout = Duration(2);
    options.keepaliveEvery = Duration(0);
    options.userAgent = "gannetcourse-lab client zone/" + zone;
    node.channels.push_back(std::make_unique<grpc::Channel>(fabric_.loop, endpoint, options));
    node.channels.back()->onStrayFrame = [this](http2::StreamId) { fabric_.ledger.answeredAgain(); };
  }
  nodes_.push_back(std::move(node));
}

void Clients::start(double until) {
  startedAt_ = fabric_.now();
  until_ = until;
  scheduleNext();
}

double Clients::rateNow() const {
  const double through = std::clamp((fabric_.now() - startedAt_) / day_.length, 0.0, 1.0);
  double shape = 1;
  if (day_.shape == "ramp") shape = 0.5 + through;
  if (day_.shape == "wave") shape = 1 + 0.3 * std::sin(through * 4 * M_PI);
  return day_.rate * shape * rateFactor;
}

void Clients::scheduleNext() {
  if (fabric_.now() >= until_ || rateNow() <= 0) return;
  const double gap = std::exponential_distribution<double>(rateNow())(random_);
  fabric_.loop.runAfter(Duration(gap), [this, alive = alive_] {
    if (!*alive || fabric_.now() >= until_) return;
    ask();
    scheduleNext();
  });
}

Clients::Session& Clients::pickSession(std::size_t classIndex) {
  const DayClass& c = day_.classes[classIndex];
  auto& live = sessions_[classIndex];
  std::uniform_real_distribution<double> draw;
  if (!live.empty() && draw(random_) < 1 - 1 / c.turns)
    return live[std::uniform_int_distribution<std::size_t>(0, live.size() - 1)(random_)];
  Session fresh;
  fresh.name = "s" + std::to_string(++lastSession_);
  fresh.classIndex = classIndex;
  if (draw(random_) < c.sharedShare) {
    // Few beginnings are common, many are rare.
    const double lot = std::pow(draw(random_), 2) * c.prefixes;
    fresh.prefix = c.name + "-p" + std::to_string(static_cast<int>(lot));
    fresh.sharedTokens = c.sharedTokens;
  }
  fresh.tokens = fresh.sharedTokens;
  live.push_back(fresh);
  if (live.size() > kLiveSessions) live.pop_front();
  return live.back();
}

void Clients::ask() {
  std::vector<double> shares;
  for (const DayClass& c : day_.classes) shares.push_back(c.share);
  const std::size_t at = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_);
  const DayClass& c = day_.classes[at];
  Session& session = pickSession(at);
  double fresh = std::lognormal_distribution<double>(std::log(c.promptTokens) - 0.18, 0.6)(random_);
  if (heavyShare > 0 && at == heavyClass && std::uniform_real_distribution<double>()(random_) < heavyShare)
    fresh *= heavyFactor;
  session.tokens = std::min(session.tokens + std::ceil(fresh), 120000.0);
  auto ask = std::make_shared<Ask>();
  ask->number = ++lastAsk_;
  ask->classIndex = at;
  ask->session = session.name;
  ask->prefix = session.prefix;
  ask->promptTokens = session.tokens;
  ask->prefixTokens = session.sharedTokens;
  ask->startedAt = fabric_.now();
  ask->mostTries = 1 + day_.retries;
  if (!day_.tenants.empty()) {
    std::vector<double> parts;
    for (const DayTenant& t : day_.tenants) parts.push_back(t.share);
    ask->tenant =
        day_.tenants[std::discrete_distribution<std::size_t>(parts.begin(), parts.end())(random_)].name;
  }
  ask->abusive = abuser && *abuser == ask->tenant;
  if (ask->abusive) ask->mostTries = std::min<std::uint32_t>(15, 1 + abuseRetries);
  ask->giveUpAt = ask->startedAt + c.deadline;
  ++service_.asks;
  ++service_.asksOf[at];
  send(ask);
}

void Clients::send(const std::shared_ptr<Ask>& ask) {
  if (nodes_.empty()) return;
  const DayClass& c = day_.classes[ask->classIndex];
  const double now = fabric_.now();
  Node& node = nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
  grpc::Channel& channel =
      *node.channels[std::uniform_int_distribution<std::size_t>(0, kChannels - 1)(random_)];
  const TryId id = ask->number * 16 + ask->tries;
  v1::GenerateRequest request;
  request.set_request_class(c.name);
  request.set_tenant(ask->tenant);
  request.set_session(ask->session);
  request.set_prefix_key(ask->prefix);
  request.set_prefix_tokens(static_cast<std::uint32_t>(ask->prefixTokens));
  request.set_prompt("#" + std::to_string(id) + " why is this reading so high?");
  request.set_prompt_tokens(static_cast<std::uint32_t>(ask->promptTokens));
  request.set_max_output_tokens(c.outputTokens);
  request.set_seed(id);
  request.set_is_retry(ask->tries > 0);
  const double patience = ask->abusive ? abusePatience * c.aim : c.deadline;
  const double timeout = std::min(patience, ask->giveUpAt - now);
  ++ask->tries;
  fabric_.ledger.tryStarted(id, ask->classIndex, now, now + timeout, c.outputTokens);
  Try& t = tries_[id];
  t.ask = ask;
  t.startedAt = now;
  t.call = channel.start("/gannetcourse.v1.Chat/Generate", request.SerializeAsString(), Duration(timeout));
  t.call->onMessage = [this, id](std::string_view bytes) {
    v1::GenerateToken token;
    token.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    Try& mine = tries_.at(id);
    const double now = fabric_.now();
    if (mine.firstAt <= 0) mine.firstAt = mine.lastAt = now;
    mine.longestGap = std::max(mine.longestGap, now - mine.lastAt);
    mine.lastAt = now;
    ++service_.tokens;
    fabric_.ledger.tryToken(id, token.index(), token.text());
  };
  t.call->onEnd = [this, id](const grpc::CallEnd& end) { ended(id, end); };
  t.watchdog = fabric_.loop.runAfter(Duration(timeout + kWatchdog), [this, id] {
    const auto it = tries_.find(id);
    if (it == tries_.end()) return;
    const auto call = it->second.call;
    call->onEnd = nullptr;
    ended(id, {grpc::CallEnd::Kind::kConnectionLost, {}, {}});
    call->cancel();
  });
  std::uniform_real_distribution<double> draw;
  if (draw(random_) < day_.impatient) {
    fabric_.loop.runAfter(Duration(draw(random_) * c.aim * 2), [this, id, call = t.call, alive = alive_] {
      if (*alive && tries_.count(id) > 0) call->cancel();
    });
  }
  if (draw(random_) < day_.slowReaders) {
    t.call->pause(true);
    fabric_.loop.runAfter(Duration(kSlowReader), [call = t.call] { call->pause(false); });
  }
}

ClientEnd Clients::classify(const grpc::CallEnd& end) const {
  if (end.kind == grpc::CallEnd::Kind::kCancelled) return ClientEnd::kGaveUp;
  if (end.kind != grpc::CallEnd::Kind::kStatus) return ClientEnd::kBroken;
  const std::string* verdict = http2::find(end.trailers, "gannetcourse-verdict");
  if (end.status.code == grpc::Code::kOk) return ClientEnd::kServed;
  if (verdict == nullptr) return ClientEnd::kRejected;
  return *verdict == "refused" ? ClientEnd::kRefused : ClientEnd::kFailed;
}

void Clients::ended(TryId id, const grpc::CallEnd& end) {
  auto node = tries_.extract(id);
  if (node.empty()) return;
  Try& t = node.mapped();
  fabric_.loop.cancelTimer(t.watchdog);
  const double now = fabric_.now();
  const ClientEnd how = classify(end);
  fabric_.ledger.tryEnded(id, how, now, lag());
  const std::shared_ptr<Ask> ask = t.ask;
  if (how == ClientEnd::kServed) {
    service_.firstTokens.push_back(t.firstAt - t.startedAt);
    service_.longestGaps.push_back(t.longestGap);
    if (t.firstAt - ask->startedAt <= day_.classes[ask->classIndex].aim) {
      ++service_.inTime;
      ++service_.inTimeOf[ask->classIndex];
    }
    return;
  }
  const std::string* pushback = http2::find(end.trailers, "grpc-retry-pushback-ms");
  perhapsRetry(ask, how, pushback == nullptr ? 0 : std::atof(pushback->c_str()) / 1000);
}

void Clients::perhapsRetry(const std::shared_ptr<Ask>& ask, ClientEnd end, double pushback) {
  const DayClass& c = day_.classes[ask->classIndex];
  const bool harmless = end == ClientEnd::kRefused || (end == ClientEnd::kFailed && c.effect == "safe");
  if (!harmless || ask->tries >= ask->mostTries) return;
  double wait = day_.backOff;
  if (std::uniform_real_distribution<double>()(random_) < day_.heed) wait = std::max(wait, pushback);
  if (ask->abusive) wait = 0.001;
  if (fabric_.now() + wait + 0.5 >= ask->giveUpAt) return;
  ++waiting_;
  fabric_.loop.runAfter(Duration(wait), [this, ask, alive = alive_] {
    if (!*alive) return;
    --waiting_;
    send(ask);
  });
}

// How late this loop has been of late: a client that looks late may only have been read late.
double Clients::lag() const {
  const double now = fabric_.now();
  worstLag_ = std::max(worstLag_ * std::exp(lagAt_ - now), fabric_.loop.takeLongestIteration().count());
  worstLag_ = std::max(worstLag_, now - fabric_.loop.now().time_since_epoch().count());
  lagAt_ = now;
  return 2 * worstLag_;
}

}  // namespace gannetcourse::lab
