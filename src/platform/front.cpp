#include "platform/front.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace gannetcourse::platform {
namespace {

using instance::Json;

constexpr std::string_view kChat = "/v1/chat/completions";
constexpr std::string_view kEvents = "Content-Type: text/event-stream\r\n";
constexpr std::uint64_t kMostTokens = 1U << 24;
constexpr std::uint64_t kMostBudgetMs = 3'600'000;
constexpr std::size_t kMostId = 128;

std::optional<std::uint64_t> numberIn(std::string_view text, std::uint64_t most) {
  std::uint64_t value = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size() || text.empty() || value > most)
    return std::nullopt;
  return value;
}

bool isId(const std::string& text) {
  if (text.empty() || text.size() > kMostId) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

// "prefix=HEX,prompt_len=N,prefix_len=N,max_out=N"; unknown names are passed over. False where one is wrong.
bool readInfo(std::string_view text, router::NewRequest& arrival, router::RequestPayload& work) {
  while (!text.empty()) {
    const auto comma = std::min(text.size(), text.find(','));
    const std::string_view pair = text.substr(0, comma);
    text.remove_prefix(std::min(text.size(), comma + 1));
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) return false;
    const std::string_view name =
        pair.substr(pair.find_first_not_of(' '), equals - pair.find_first_not_of(' '));
    const std::string_view value = pair.substr(equals + 1);
    if (name == "prefix") {
      const auto key = instance::parseHexKey(std::string(value));
      if (!key) return false;
      arrival.prefixKey = *key;
      continue;
    }
    std::uint32_t* const field = name == "prompt_len"   ? &work.promptTokens
                                 : name == "prefix_len" ? &work.prefixTokens
                                 : name == "max_out"    ? &work.maxOutputTokens
                                                        : nullptr;
    if (field == nullptr) continue;
    const auto number = numberIn(value, kMostTokens);
    if (!number) return false;
    *field = static_cast<std::uint32_t>(*number);
  }
  return true;
}

const std::string& valueOf(const http1::Fields& fields, const char* name) {
  static const std::string kNone;
  const std::string* const value = fields.find(name);
  return value == nullptr ? kNone : *value;
}

// Fields that concern one connection only, or that the node states anew for its engines.
constexpr std::array<std::string_view, 14> kNotPassedOn = {
    "Connection",  "Keep-Alive",  "Proxy-Connection",  "Proxy-Authorization",
    "TE",          "Trailer",     "Transfer-Encoding", "Upgrade",
    "Expect",      "Host",        "Content-Length",    "X-Call-Id",
    "X-Budget-Ms", "Content-Type"};

// The client's own fields, as lines for its engines: a customer's keys and traces mean something to them,
// whatever their names are.
std::string passedOn(const http1::Fields& fields) {
  const std::string& nominated = valueOf(fields, "Connection");
  const auto ofConnection = [&](std::string_view name) {
    const auto same = [&](std::string_view other) { return http1::equalsIgnoreCase(name, other); };
    if (std::any_of(kNotPassedOn.begin(), kNotPassedOn.end(), same)) return true;
    for (std::size_t from = 0; from < nominated.size();) {
      const std::size_t end = std::min(nominated.size(), nominated.find(',', from));
      const std::size_t first = nominated.find_first_not_of(" \t", from);
      const std::size_t last = nominated.find_last_not_of(" \t", end - 1);
      if (first < end && last >= first && same(std::string_view(nominated).substr(first, last + 1 - first)))
        return true;
      from = end + 1;
    }
    return false;
  };
  std::string lines;
  for (const auto& [name, value] : fields.all()) {
    if (!ofConnection(name)) lines.append(name).append(": ").append(value).append("\r\n");
  }
  return lines;
}

std::string retryAfterLine(Duration advice) {
  if (advice.count() <= 0) return {};
  char text[48];
  std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", advice.count());
  return text;
}

}  // namespace

std::variant<router::NewRequest, RequestError> parseChatRequest(http1::Request& request,
                                                                const instance::InstanceNames& names) {
  const http1::Fields& fields = request.fields;
  for (const char* const once : {"X-Call-Id", "X-Call-Class", "X-Route-Hash", "X-Budget-Ms", "X-Call-Info"}) {
    if (fields.count(once) > 1) return RequestError{400, std::string(once) + " comes more than once"};
  }
  router::NewRequest arrival;
  auto work = std::make_shared<router::RequestPayload>();
  arrival.id = valueOf(fields, "X-Call-Id");
  if (!isId(arrival.id)) return RequestError{400, "X-Call-Id is missing or no id"};
  work->requestClass = valueOf(fields, "X-Call-Class");
  const auto classIndex = instance::indexOf(names.classes, work->requestClass);
  if (!classIndex) return RequestError{400, "X-Call-Class is missing or unknown"};
  arrival.classIndex = *classIndex;
  const std::string& tenant = valueOf(fields, "X-Caller");
  if (!tenant.empty()) arrival.tenant = instance::indexOf(names.tenants, tenant);
  work->tenant = tenant;
  const auto budget = numberIn(valueOf(fields, "X-Budget-Ms"), kMostBudgetMs);
  if (!budget || *budget == 0)
    return RequestError{400, "X-Budget-Ms is missing or no number of milliseconds"};
  arrival.timeUntilDeadline = Duration(static_cast<double>(*budget) / 1000);
  arrival.deadlineEndsAtFirstToken = true;
  const std::string& session = valueOf(fields, "X-Route-Hash");
  const auto key = instance::parseHexKey(session);
  if (!session.empty() && !key) return RequestError{400, "X-Route-Hash is no key of hex digits"};
  arrival.sessionKey = key.value_or(0);
  arrival.isRetry = !valueOf(fields, "X-Again").empty();
  const std::string& hint = valueOf(fields, "X-Call-Cost");
  const auto cost = numberIn(hint, UINT64_MAX);
  if (cost && *cost > 0) arrival.expectedOutputDuration = Duration(static_cast<double>(*cost) * 1e-6);
  if (!readInfo(valueOf(fields, "X-Call-Info"), arrival, *work))
    return RequestError{400, "X-Call-Info cannot be read"};
  if (request.body.empty() || request.body.front() != '{' || !Json::accept(request.body))
    return RequestError{400, "the body is no JSON object"};
  if (work->promptTokens == 0) work->promptTokens = static_cast<std::uint32_t>(request.body.size() / 4);
  work->headerFields = passedOn(fields);
  work->target = std::move(request.target);
  work->prompt = std::move(request.body);
  arrival.payload = std::move(work);
  return arrival;
}

// A request that the core has. The head goes out with the first event.
class Frontend::OpenRequest final : public frontend::ClientStream {
 public:
  OpenRequest(Frontend& front, std::shared_ptr<http1::Exchange> exchange, std::string id, std::uint64_t bytes)
      : frontend_(front), exchange_(std::move(exchange)), id_(std::move(id)), bytes_(bytes) {
    frontend_.openRequestIds_.insert(id_);
    frontend_.bufferedBytes_ += bytes_;
  }
  ~OpenRequest() override { close(); }

  void sendToken(const router::SendToken& event) override {
    if (!std::exchange(streamBegun_, true)) exchange_->beginStream(kEvents);
    exchange_->sendChunk(event.text);
  }

  void sendFinalResponse(const router::FinalResponse& answer) override {
    close();
    exchange_->onClientDisconnected = nullptr;
    if (streamBegun_) {
      answer.status == router::FinalStatus::kServed ? exchange_->endStream() : exchange_->abortStream();
    } else if (answer.status == router::FinalStatus::kRejected) {
      exchange_->respond(503, retryAfterLine(answer.retryAfter), answer.reason + "\n");
    } else {
      exchange_->respond(answer.status == router::FinalStatus::kDeadlineExceeded ? 504 : 502, "",
                         answer.reason + "\n");
    }
  }

 private:
  void close() {
    if (std::exchange(closed_, true)) return;
    frontend_.openRequestIds_.erase(id_);
    frontend_.bufferedBytes_ -= bytes_;
  }

  Frontend& frontend_;
  std::shared_ptr<http1::Exchange> exchange_;
  std::string id_;
  std::uint64_t bytes_;
  bool streamBegun_ = false, closed_ = false;
};

namespace {

http1::ServerOptions serverOptions(const Configuration& configuration) {
  const NodeLimits bounds = limitsOf(configuration);
  http1::ServerOptions options;
  options.maxConnections = bounds.maxClientConnections;
  options.maxBufferedRequestBytes = bounds.maxBufferedBytes / 2;
  return options;
}

}  // namespace

Frontend::Frontend(net::Loop& loop, const Configuration& configuration, node::CoreDriver& driver)
    : driver_(driver),
      server_(loop, configuration.listenEndpoint, serverOptions(configuration),
              [this](const std::shared_ptr<http1::Exchange>& exchange) { handle(exchange); }) {
  applyConfiguration(configuration);
}

void Frontend::applyConfiguration(const Configuration& configuration) {
  names_ = configuration.names;
  limits_ = limitsOf(configuration);
  retryAfter_ = configuration.policySettings.clientsHonorRetryAfter
                    ? configuration.policySettings.maxRetryAfter
                    : Duration(0);
  server_.setOptions(serverOptions(configuration));
}

void Frontend::drain() {
  draining_ = true;
  server_.drain();
}

void Frontend::reject(http1::Exchange& exchange, const RequestError& fault) {
  ++rejectedMalformed_;
  const std::string line = fault.status == 503 ? retryAfterLine(retryAfter_) : "";
  exchange.respond(fault.status, line, fault.reason + "\n", true);
}

void Frontend::handle(const std::shared_ptr<http1::Exchange>& exchange) {
  const http1::Request& request = exchange->request;
  const std::string path = request.target.substr(0, request.target.find('?'));
  const bool serves = ready_ && !draining_;
  if (path == kChat) {
    if (request.method != "POST") return reject(*exchange, {405, "only POST is served here"});
    return handleChat(exchange);
  }
  if (path == "/-/ready")
    return exchange->respond(serves ? 200 : 503, "", serves ? "ready\n" : "not ready\n");
  if (path == "/-/healthy") return exchange->respond(200, "", "healthy\n");
  reject(*exchange, {404, "nothing is served at this path"});
}

void Frontend::handleChat(const std::shared_ptr<http1::Exchange>& exchange) {
  auto read = parseChatRequest(exchange->request, names_);
  if (const RequestError* const fault = std::get_if<RequestError>(&read)) return reject(*exchange, *fault);
  router::NewRequest& arrival = std::get<router::NewRequest>(read);
  if (openRequestIds_.count(arrival.id) > 0)
    return reject(*exchange, {409, "X-Call-Id is that of an open request"});
  const std::uint64_t bytes = arrival.payload->prompt.size() + arrival.payload->headerFields.size();
  if (openRequestIds_.size() >= limits_.maxOpenRequests || bufferedBytes_ + bytes > limits_.maxBufferedBytes)
    return reject(*exchange, {503, "the node has all that it can hold"});
  const router::RequestKey key = arrival.key = driver_.nextRequestKey();
  auto client = std::make_shared<OpenRequest>(*this, exchange, arrival.id, bytes);
  exchange->onClientDisconnected = [this, key] { driver_.onClientDisconnected(key); };
  exchange->onBackpressure = [this, key](bool paused) { driver_.pauseRequest(key, paused); };
  driver_.openRequest(key, std::move(arrival), std::move(client));
}

}  // namespace gannetcourse::platform
