#include "clients.h"

#include <algorithm>
#include <cmath>

#include "gannetcourse/v1/chat.pb.h"

namespace gannetcourse::lab {
namespace {

constexpr std::size_t kChannels = 2;      // connections to each node
constexpr std::size_t kMaxSessions = 64;  // sessions per class that may get another turn
constexpr double kWatchdogDelay = 3;      // seconds after an attempt's deadline; then it counts as unanswered
constexpr double kSlowReaderPause = 0.4;  // seconds for which a slow reader pauses at the start

}  // namespace

Clients::Clients(Testbed& testbed, const Scenario& scenario, std::uint64_t seed)
    : testbed_(testbed), scenario_(scenario), random_(seed), sessions_(scenario.classes.size()) {
  service_.requestsByClass.resize(scenario.classes.size());
  service_.inTimeByClass.resize(scenario.classes.size());
}

Clients::~Clients() { *alive_ = false; }

void Clients::addNode(const std::string& zone, const net::Endpoint& endpoint) {
  Node node{zone, {}};
  for (std::size_t i = 0; i < kChannels; ++i) {
    grpc::ChannelOptions options;
    options.maxConnections = 1;
    options.connectTimeout = Duration(2);
    options.keepaliveInterval = Duration(0);
    options.userAgent = "gannetcourse-lab client zone/" + zone;
    node.channels.push_back(std::make_unique<grpc::Channel>(testbed_.loop, endpoint, options));
    node.channels.back()->onStrayFrame = [this](http2::StreamId) { testbed_.ledger.onSecondResponse(); };
  }
  nodes_.push_back(std::move(node));
}

void Clients::start(double until) {
  startedAt_ = testbed_.now();
  until_ = until;
  scheduleNext();
}

double Clients::rateNow() const {
  const double elapsedShare = std::clamp((testbed_.now() - startedAt_) / scenario_.duration, 0.0, 1.0);
  double shape = 1;
  if (scenario_.shape == "ramp") shape = 0.5 + elapsedShare;
  if (scenario_.shape == "wave") shape = 1 + 0.3 * std::sin(elapsedShare * 4 * M_PI);
  return scenario_.requestsPerSecond * shape * rateFactor;
}

void Clients::scheduleNext() {
  if (testbed_.now() >= until_ || rateNow() <= 0) return;
  const double gap = std::exponential_distribution<double>(rateNow())(random_);
  testbed_.loop.runAfter(Duration(gap), [this, alive = alive_] {
    if (!*alive || testbed_.now() >= until_) return;
    sendNewRequest();
    scheduleNext();
  });
}

Clients::Session& Clients::pickSession(std::size_t classIndex) {
  const ScenarioClass& c = scenario_.classes[classIndex];
  auto& sessions = sessions_[classIndex];
  std::uniform_real_distribution<double> draw;
  if (!sessions.empty() && draw(random_) < 1 - 1 / c.turns)
    return sessions[std::uniform_int_distribution<std::size_t>(0, sessions.size() - 1)(random_)];
  Session session;
  session.name = "s" + std::to_string(++lastSession_);
  session.classIndex = classIndex;
  if (draw(random_) < c.sharedShare) {
    // The square makes a few prefixes common and most of them rare.
    const double prefixIndex = std::pow(draw(random_), 2) * c.prefixes;
    session.prefix = c.name + "-p" + std::to_string(static_cast<int>(prefixIndex));
    session.sharedTokens = c.sharedTokens;
  }
  session.tokens = session.sharedTokens;
  sessions.push_back(session);
  if (sessions.size() > kMaxSessions) sessions.pop_front();
  return sessions.back();
}

void Clients::sendNewRequest() {
  std::vector<double> shares;
  for (const ScenarioClass& c : scenario_.classes) shares.push_back(c.trafficShare);
  const std::size_t classIndex =
      std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random_);
  const ScenarioClass& c = scenario_.classes[classIndex];
  Session& session = pickSession(classIndex);
  double newTokens = std::lognormal_distribution<double>(std::log(c.promptTokens) - 0.18, 0.6)(random_);
  if (heavyShare > 0 && classIndex == heavyClass &&
      std::uniform_real_distribution<double>()(random_) < heavyShare)
    newTokens *= heavyFactor;
  session.tokens = std::min(session.tokens + std::ceil(newTokens), 120000.0);
  auto request = std::make_shared<Request>();
  request->number = ++lastRequest_;
  request->classIndex = classIndex;
  request->session = session.name;
  request->prefix = session.prefix;
  request->promptTokens = session.tokens;
  request->prefixTokens = session.sharedTokens;
  request->startedAt = testbed_.now();
  request->maxAttempts = 1 + scenario_.maxRetries;
  if (!scenario_.tenants.empty()) {
    std::vector<double> parts;
    for (const ScenarioTenant& t : scenario_.tenants) parts.push_back(t.quotaShare);
    request->tenant =
        scenario_.tenants[std::discrete_distribution<std::size_t>(parts.begin(), parts.end())(random_)].name;
  }
  request->abusive = abusiveTenant && *abusiveTenant == request->tenant;
  if (request->abusive) request->maxAttempts = std::min<std::uint32_t>(15, 1 + abuseRetries);
  request->deadlineAt = request->startedAt + c.deadline;
  ++service_.requests;
  ++service_.requestsByClass[classIndex];
  sendAttempt(request);
}

std::string Clients::makeMessage(const Request& request, ClientAttemptId id) const {
  const ScenarioClass& c = scenario_.classes[request.classIndex];
  v1::GenerateRequest message;
  message.set_request_class(c.name);
  message.set_tenant(request.tenant);
  message.set_session(request.session);
  message.set_prefix_key(request.prefix);
  message.set_prefix_tokens(static_cast<std::uint32_t>(request.prefixTokens));
  message.set_prompt("#" + std::to_string(id) + " why is this reading so high?");
  message.set_prompt_tokens(static_cast<std::uint32_t>(request.promptTokens));
  message.set_max_output_tokens(c.outputTokens);
  message.set_seed(id);
  message.set_is_retry(request.attempts > 0);
  return message.SerializeAsString();
}

void Clients::sendAttempt(const std::shared_ptr<Request>& request) {
  if (nodes_.empty()) return;
  const ScenarioClass& c = scenario_.classes[request->classIndex];
  const double now = testbed_.now();
  Node& node = nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
  grpc::Channel& channel =
      *node.channels[std::uniform_int_distribution<std::size_t>(0, kChannels - 1)(random_)];
  const ClientAttemptId id = request->number * 16 + request->attempts;
  const std::string message = makeMessage(*request, id);
  const double timeoutLimit = request->abusive ? abuserTimeoutShare * c.ttftObjective : c.deadline;
  const double timeout = std::min(timeoutLimit, request->deadlineAt - now);
  ++request->attempts;
  testbed_.ledger.onClientAttemptStarted(id, request->classIndex, now, now + timeout, c.outputTokens);
  Attempt& attempt = attempts_[id];
  attempt.request = request;
  attempt.startedAt = now;
  attempt.call = channel.start("/gannetcourse.v1.Chat/Generate", message, Duration(timeout));
  attempt.call->onMessage = [this, id](std::string_view bytes) { onToken(id, bytes); };
  attempt.call->onEnd = [this, id](const grpc::CallEnd& end) { onAttemptEnded(id, end); };
  attempt.watchdog =
      testbed_.loop.runAfter(Duration(timeout + kWatchdogDelay), [this, id] { onWatchdog(id); });
  simulateUser(id, attempt.call, c);
}

void Clients::onToken(ClientAttemptId id, std::string_view bytes) {
  v1::GenerateToken token;
  token.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  Attempt& attempt = attempts_.at(id);
  const double now = testbed_.now();
  if (attempt.firstAt <= 0) {
    attempt.firstAt = now;
    attempt.lastAt = now;
  }
  attempt.longestGap = std::max(attempt.longestGap, now - attempt.lastAt);
  attempt.lastAt = now;
  ++service_.tokens;
  testbed_.ledger.onClientToken(id, token.index(), token.text());
}

void Clients::onWatchdog(ClientAttemptId id) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  const auto call = it->second.call;
  call->onEnd = nullptr;
  onAttemptEnded(id, {grpc::CallEnd::Kind::kConnectionLost, {}, {}});
  call->cancel();
}

// Makes some users cancel their attempt and some read its response slowly, at random.
void Clients::simulateUser(ClientAttemptId id, const std::shared_ptr<grpc::ClientCall>& call,
                           const ScenarioClass& c) {
  std::uniform_real_distribution<double> draw;
  if (draw(random_) < scenario_.impatientShare) {
    const Duration cancelDelay(draw(random_) * c.ttftObjective * 2);
    testbed_.loop.runAfter(cancelDelay, [this, id, call, alive = alive_] {
      if (*alive && attempts_.count(id) > 0) call->cancel();
    });
  }
  if (draw(random_) < scenario_.slowReaderShare) {
    call->pause(true);
    testbed_.loop.runAfter(Duration(kSlowReaderPause), [call] { call->pause(false); });
  }
}

ClientEnd Clients::classify(const grpc::CallEnd& end) const {
  if (end.kind == grpc::CallEnd::Kind::kCancelled) return ClientEnd::kCancelled;
  if (end.kind != grpc::CallEnd::Kind::kStatus) return ClientEnd::kConnectionLost;
  const std::string* verdict = http2::find(end.trailers, "gannetcourse-verdict");
  if (end.status.code == grpc::Code::kOk) return ClientEnd::kServed;
  if (verdict == nullptr) return ClientEnd::kInvalidRequest;
  return *verdict == "refused" ? ClientEnd::kRejected : ClientEnd::kFailed;
}

void Clients::onAttemptEnded(ClientAttemptId id, const grpc::CallEnd& end) {
  auto node = attempts_.extract(id);
  if (node.empty()) return;
  Attempt& attempt = node.mapped();
  testbed_.loop.cancelTimer(attempt.watchdog);
  const double now = testbed_.now();
  const ClientEnd clientEnd = classify(end);
  testbed_.ledger.onClientAttemptEnded(id, clientEnd, now, lag());
  const std::shared_ptr<Request> request = attempt.request;
  if (clientEnd == ClientEnd::kServed) {
    service_.firstTokens.push_back(attempt.firstAt - attempt.startedAt);
    service_.longestGaps.push_back(attempt.longestGap);
    if (attempt.firstAt - request->startedAt <= scenario_.classes[request->classIndex].ttftObjective) {
      ++service_.inTime;
      ++service_.inTimeByClass[request->classIndex];
    }
    return;
  }
  const std::string* pushback = http2::find(end.trailers, "grpc-retry-pushback-ms");
  retryIfAllowed(request, clientEnd, pushback == nullptr ? 0 : std::atof(pushback->c_str()) / 1000);
}

void Clients::retryIfAllowed(const std::shared_ptr<Request>& request, ClientEnd end, double pushback) {
  const ScenarioClass& c = scenario_.classes[request->classIndex];
  const bool retryAllowed = end == ClientEnd::kRejected || (end == ClientEnd::kFailed && c.effect == "safe");
  if (!retryAllowed || request->attempts >= request->maxAttempts) return;
  double wait = scenario_.retryBackoff;
  if (std::uniform_real_distribution<double>()(random_) < scenario_.retryAfterHonoredShare)
    wait = std::max(wait, pushback);
  if (request->abusive) wait = 0.001;
  if (testbed_.now() + wait + 0.5 >= request->deadlineAt) return;
  ++awaitingRetry_;
  testbed_.loop.runAfter(Duration(wait), [this, request, alive = alive_] {
    if (!*alive) return;
    --awaitingRetry_;
    sendAttempt(request);
  });
}

// The recent delay of this process's event loop, in seconds: a response that seems late may only have been
// read late.
double Clients::lag() const {
  const double now = testbed_.now();
  worstLag_ = std::max(worstLag_ * std::exp(lagAt_ - now), testbed_.loop.takeLongestIteration().count());
  worstLag_ = std::max(worstLag_, now - testbed_.loop.now().time_since_epoch().count());
  lagAt_ = now;
  return 2 * worstLag_;
}

}  // namespace gannetcourse::lab
