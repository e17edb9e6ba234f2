#include "platform/engine_response.h"

#include <cstdint>

#include "instance/json_fields.h"
#include "platform/load_report.h"

namespace gannetcourse::platform {
namespace {

using instance::Json;

constexpr int kStatusOk = 200, kStatusAccepted = 202, kStatusGone = 410;
constexpr int kStatusUnavailable = 503, kStatusGatewayTimeout = 504;
constexpr std::size_t kMaxBodyBytes = 4096;

}  // namespace

Outcome outcomeOf(int status, bool notExecuted, AttemptKind kind) {
  if (kind == AttemptKind::kPrefill && status == kStatusAccepted) return Outcome::kPrefilled;
  if (status == kStatusGone && notExecuted) return Outcome::kStateLost;
  const bool isShed = status == kStatusUnavailable || status == kStatusGatewayTimeout;
  return isShed && notExecuted ? Outcome::kRejected : Outcome::kError;
}

Outcome outcomeOf(http1::CallResult result) {
  switch (result) {
    case http1::CallResult::kNoConnectionAvailable:
      return Outcome::kNotSent;
    case http1::CallResult::kNotConnected:
      return Outcome::kConnectFailed;
    case http1::CallResult::kMalformed:  // the engine is reachable, and the request may have been executed
      return Outcome::kError;
    default:
      return Outcome::kReset;
  }
}

bool EngineResponseDecoder::isPrefillAnswer() const {
  return kind_ == AttemptKind::kPrefill && status_ == kStatusAccepted;
}

void EngineResponseDecoder::onHead(const http1::ResponseHead& head) {
  status_ = head.status;
  notExecuted_ = head.fields.find("X-Rejected") == "1";
  const std::optional<std::string> report = head.fields.find("X-Load-Report");
  if (report) headLoadReport_ = parseLoadReport(*report);
  isStream_ = status_ == kStatusOk && kind_ == AttemptKind::kDecode;
}

bool EngineResponseDecoder::onBody(std::string_view bytes, const EventStreamDecoder::EventHandler& onEvent) {
  if (!isStream_) {
    body_.append(bytes.substr(0, kMaxBodyBytes - body_.size()));
    return true;
  }
  return events_.feed(bytes, onEvent);
}

// A prefill that is answered with a 2xx status other than 202 may have run and left a state at the engine, so
// it is treated like an abandoned attempt.
AttemptResult EngineResponseDecoder::resultOfStatus() const {
  const bool isOtherSuccess =
      kind_ == AttemptKind::kPrefill && status_ / 100 == 2 && status_ != kStatusAccepted;
  const auto end = isOtherSuccess ? recovery::AttemptEnd::kAbandoned : recovery::AttemptEnd::kConfirmed;
  const Outcome outcome = outcomeOf(status_, notExecuted_, kind_);
  AttemptResult result = resultOf(outcome, "status " + std::to_string(status_), end);
  if (outcome == Outcome::kPrefilled) result.cachedTokens = cachedTokensOfPrefill();
  return result;
}

AttemptResult EngineResponseDecoder::finishStream(const EventStreamDecoder::EventHandler& onEvent) {
  const bool complete = events_.finish([&](std::string event) {
    if (events_.isComplete()) onEvent(std::move(event));
  });
  constexpr auto kEnd = recovery::AttemptEnd::kConfirmed;
  if (!complete) return resultOf(Outcome::kError, "its stream ended before its last event", kEnd);
  const auto tokens = static_cast<std::uint64_t>(events_.generatedTokens());
  return resultOf(Outcome::kOk, "tokens " + std::to_string(tokens), kEnd);
}

AttemptResult EngineResponseDecoder::resultOf(Outcome outcome, const std::string& reason,
                                              recovery::AttemptEnd end) const {
  AttemptResult result;
  result.outcome = outcome;
  result.reason = reason;
  result.end = end;
  result.cachedTokens = events_.cachedTokens();
  result.load = events_.loadReport() ? events_.loadReport() : headLoadReport_;
  return result;
}

double EngineResponseDecoder::cachedTokensOfPrefill() const {
  const Json reply = Json::parse(body_, nullptr, false);
  if (!reply.is_object() || !reply.contains("cached_tokens")) return 0;
  const Json& tokens = reply["cached_tokens"];
  return tokens.is_number() ? tokens.get<double>() : 0;
}

}  // namespace gannetcourse::platform
