// Open-loop clients, which send new requests without waiting for responses: sessions of several turns, shared
// prefixes, retries, users that cancel and users that read slowly.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "fake_engine.h"
#include "grpc/channel.h"
#include "ledger.h"
#include "scenario.h"

namespace gannetcourse::lab {

/// The service that the clients received. Durations are seconds.
struct ServiceCounts {
  // A request and its retries count as one. `inTime` counts the requests whose first token arrived within the
  // TTFT objective.
  std::uint64_t requests = 0, inTime = 0;
  std::vector<double> firstTokens;  // time to first token of each served attempt
  std::vector<double> longestGaps;  // longest time between two tokens of each served attempt
  std::vector<std::uint64_t> requestsByClass, inTimeByClass;  // by class index
  std::uint64_t tokens = 0;
};

/// All clients of a scenario. Runs on the testbed's loop; the testbed and the scenario must outlive the
/// clients.
class Clients {
 public:
  Clients(Testbed& testbed, const Scenario& scenario, std::uint64_t seed);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void addNode(const std::string& zone, const net::Endpoint& endpoint);
  void start(double until);  ///< Sends new requests until that time of the testbed.
  std::size_t open() const { return attempts_.size() + awaitingRetry_; }
  const ServiceCounts& service() const { return service_; }

  // ---- Faults ----
  double rateFactor = 1;                   // burst: multiplies the request rate
  double heavyFactor = 1, heavyShare = 0;  // heavy_tail: factor of prompt tokens, share of heavyClass
  std::size_t heavyClass = 0;
  std::optional<std::string> abusiveTenant;  // retry_abuse: the tenant whose clients retry too much
  std::uint32_t abuseRetries = 10;
  double abuserTimeoutShare = 0.4;  // timeout of that tenant's attempts, as a share of the TTFT objective

 private:
  struct Node {
    std::string zone;
    std::vector<std::unique_ptr<grpc::Channel>> channels;
  };
  struct Session {
    std::string name, prefix;
    double tokens = 0;  // prompt tokens of all turns so far
    double sharedTokens = 0;
    std::size_t classIndex = 0;
  };
  struct Request {
    std::uint64_t number = 0;
    std::size_t classIndex = 0;
    std::string tenant, session, prefix;
    double promptTokens = 0, prefixTokens = 0;
    double deadlineAt = 0, startedAt = 0;
    std::uint32_t attempts = 0, maxAttempts = 1;
    bool abusive = false, done = false;
  };
  struct Attempt {
    std::shared_ptr<Request> request;
    std::shared_ptr<grpc::ClientCall> call;
    double startedAt = 0, firstAt = 0, lastAt = 0, longestGap = 0;
    net::TimerId watchdog = 0;
  };

  void scheduleNext();
  double rateNow() const;
  void sendNewRequest();
  std::string makeMessage(const Request& request, ClientAttemptId id) const;
  void sendAttempt(const std::shared_ptr<Request>& request);
  void onToken(ClientAttemptId id, std::string_view bytes);
  void onWatchdog(ClientAttemptId id);
  void simulateUser(ClientAttemptId id, const std::shared_ptr<grpc::ClientCall>& call,
                    const ScenarioClass& c);
  void onAttemptEnded(ClientAttemptId id, const grpc::CallEnd& end);
  void retryIfAllowed(const std::shared_ptr<Request>& request, ClientEnd end, double pushback);
  ClientEnd classify(const grpc::CallEnd& end) const;
  Session& pickSession(std::size_t classIndex);
  double lag() const;

  Testbed& testbed_;
  const Scenario& scenario_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::vector<std::deque<Session>> sessions_;  // by class index
  std::unordered_map<ClientAttemptId, Attempt> attempts_;
  std::size_t awaitingRetry_ = 0;  // requests that wait for their retry
  std::uint64_t lastRequest_ = 0, lastSession_ = 0;
  double startedAt_ = 0, until_ = 0;
  ServiceCounts service_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  mutable double worstLag_ = 0, lagAt_ = 0;
};

}  // namespace gannetcourse::lab
