#include "platform/frontend.h"

#include <cstdio>
#include <utility>

namespace gannetcourse::platform {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kReadyPath = "/-/ready";
constexpr std::string_view kHealthyPath = "/-/healthy";
constexpr std::string_view kEventStreamField = "Content-Type: text/event-stream\r\n";

enum Status : int {
  kOk = 200,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kConflict = 409,
  kBadGateway = 502,
  kServiceUnavailable = 503,
  kGatewayTimeout = 504
};

// The Retry-After header line with the delay in seconds; empty if the delay is 0.
std::string retryAfterField(Duration delay) {
  if (delay.count() <= 0) return {};
  char text[48];
  std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", delay.count());
  return text;
}

http1::ServerOptions serverOptions(const NodeLimits& limits,
                                   const std::shared_ptr<net::MemoryBudget>& memory) {
  http1::ServerOptions options;
  options.maxConnections = limits.maxClientConnections;
  options.memory = memory;
  return options;
}

// What the node holds of an open request beside its payload: its entries in the frontend, the core, the
// decision module and the engine client.
constexpr std::size_t kOpenRequestBytes = 4096;

std::uint64_t memoryOf(const router::RequestPayload& payload) {
  return net::heapBytesOf(payload.prompt) + net::heapBytesOf(payload.headerFields) +
         net::heapBytesOf(payload.target);
}

// A payload that is charged, with the request's records, as long as anything refers to it.
struct ChargedPayload {
  std::shared_ptr<const router::RequestPayload> payload;
  net::MemoryCharge payloadCharge, recordCharge;
};

std::shared_ptr<const router::RequestPayload> chargedPayload(
    std::shared_ptr<const router::RequestPayload> payload, const std::shared_ptr<net::MemoryBudget>& memory) {
  const router::RequestPayload* const address = payload.get();
  net::MemoryCharge payloadCharge(memory, net::MemoryUse::kOpenRequests, memoryOf(*address));
  net::MemoryCharge recordCharge(memory, net::MemoryUse::kRequestRecords, kOpenRequestBytes);
  const auto charged = std::make_shared<ChargedPayload>(
      ChargedPayload{std::move(payload), std::move(payloadCharge), std::move(recordCharge)});
  return {charged, address};
}

}  // namespace

/// A request that was passed to the core, until its final response. The response head is sent with the first
/// token.
class Frontend::OpenRequest final : public frontend::ClientStream {
 public:
  OpenRequest(Frontend& frontend, std::shared_ptr<http1::Exchange> exchange, std::string id)
      : frontend_(frontend), exchange_(std::move(exchange)), id_(std::move(id)) {
    frontend_.openRequestIds_.insert(id_);
  }
  ~OpenRequest() override { close(); }

  void sendToken(const router::SendToken& token) override {
    if (!streamBegun_) {
      streamBegun_ = true;
      exchange_->beginStream(kEventStreamField);
    }
    exchange_->sendChunk(token.text);
  }

  void sendFinalResponse(const router::FinalResponse& response) override {
    close();
    exchange_->onClientDisconnected = nullptr;
    if (streamBegun_) {
      endStream(response.status);
    } else if (response.status == router::FinalStatus::kRejected) {
      exchange_->respond(kServiceUnavailable, retryAfterField(response.retryAfter), response.reason + "\n");
    } else {
      const bool timedOut = response.status == router::FinalStatus::kDeadlineExceeded;
      exchange_->respond(timedOut ? kGatewayTimeout : kBadGateway, "", response.reason + "\n");
    }
  }

 private:
  void endStream(router::FinalStatus status) {
    if (status == router::FinalStatus::kServed) {
      exchange_->endStream();
    } else {
      exchange_->abortStream();
    }
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    frontend_.openRequestIds_.erase(id_);
  }

  Frontend& frontend_;
  std::shared_ptr<http1::Exchange> exchange_;
  std::string id_;
  bool streamBegun_ = false, closed_ = false;
};

Frontend::Frontend(net::Loop& loop, const Configuration& configuration, node::CoreDriver& driver,
                   std::shared_ptr<net::MemoryBudget> memory)
    : driver_(driver),
      memory_(std::move(memory)),
      limits_(limitsOf(configuration)),
      server_(loop, configuration.listenEndpoint, serverOptions(limits_, memory_),
              [this](const std::shared_ptr<http1::Exchange>& exchange) { handle(exchange); }) {
  applyConfiguration(configuration);
}

void Frontend::applyConfiguration(const Configuration& configuration) {
  const Settings& settings = configuration.policySettings;
  names_ = configuration.names;
  retryAfter_ = settings.clientsHonorRetryAfter ? settings.maxRetryAfter : Duration(0);
}

void Frontend::setLimits(const NodeLimits& limits) {
  limits_ = limits;
  server_.setOptions(serverOptions(limits_, memory_));
}

void Frontend::drain() {
  draining_ = true;
  server_.drain();
}

void Frontend::reject(http1::Exchange& exchange, const RequestError& error) {
  ++rejectedMalformed_;
  const std::string fields = error.status == kServiceUnavailable ? retryAfterField(retryAfter_) : "";
  const bool isMalformed = error.status != kServiceUnavailable;  // what follows it is then not to be trusted
  exchange.respond(error.status, fields, error.reason + "\n", isMalformed);
}

void Frontend::handle(const std::shared_ptr<http1::Exchange>& exchange) {
  const http1::Request& request = exchange->request;
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == kChatPath && request.method != "POST") {
    reject(*exchange, {kMethodNotAllowed, "only POST is served here"});
  } else if (path == kChatPath) {
    handleChat(exchange);
  } else if (path == kReadyPath) {
    const bool serving = ready_ && !draining_;
    exchange->respond(serving ? kOk : kServiceUnavailable, "", serving ? "ready\n" : "not ready\n");
  } else if (path == kHealthyPath) {
    exchange->respond(kOk, "", "healthy\n");
  } else {
    reject(*exchange, {kNotFound, "nothing is served at this path"});
  }
}

void Frontend::handleChat(const std::shared_ptr<http1::Exchange>& exchange) {
  auto parsed = parseChatRequest(exchange->request, names_);
  if (const auto* const error = std::get_if<RequestError>(&parsed)) {
    reject(*exchange, *error);
    return;
  }
  router::NewRequest& request = std::get<router::NewRequest>(parsed);
  request.timeUntilDeadline -= exchange->waited;
  if (request.timeUntilDeadline <= Duration(0)) {
    reject(*exchange, {kServiceUnavailable, "the request's time was over before its turn came"});
    return;
  }
  if (openRequestIds_.count(request.id) > 0) {
    reject(*exchange, {kConflict, "X-Call-Id is that of an open request"});
    return;
  }
  const bool hasMemory = memory_->allowsOpenRequest(memoryOf(*request.payload));
  if (!hasMemory) ++rejectedForMemory_;
  if (!hasMemory || openRequestIds_.size() >= limits_.maxOpenRequests) {
    reject(*exchange, {kServiceUnavailable, "the node has all that it can hold"});
    return;
  }
  net::release(exchange->request);  // what is still needed of it is in the payload
  const router::RequestKey key = driver_.nextRequestKey();
  request.key = key;
  request.payload = chargedPayload(std::move(request.payload), memory_);
  auto client = std::make_shared<OpenRequest>(*this, exchange, request.id);
  exchange->onClientDisconnected = [this, key] { driver_.onClientDisconnected(key); };
  exchange->onBackpressure = [this, key](bool paused) { driver_.pauseRequest(key, paused); };
  driver_.openRequest(key, std::move(request), std::move(client));
}

}  // namespace gannetcourse::platform
