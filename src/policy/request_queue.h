// The queue of requests that wait at this router, in the order in which they are started.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "decision_context.h"
#include "request.h"

namespace gannetcourse::policy {

/// Owns the queue, but not the requests. Requests within their tenant's quota go first. Among those, the
/// classes share the engines in proportion to their priority weights (weighted fair queueing), so that no
/// class waits forever behind another. Within a class, the request that has to be started soonest goes first.
class RequestQueue {
 public:
  explicit RequestQueue(const DecisionContext& context) : context_(context) {}

  /// Queues the request, whose prefillWork and latestStart must not change while it is queued.
  void add(Request& request);
  /// Removes the request if it is queued.
  void remove(const Request& request);
  /// Removes the request, which is started, and counts its prefill work for its flow.
  void removeStarted(const Request& request);

  bool isEmpty() const { return size_ == 0; }

  /// A queued request, with the prefill work of the requests before it.
  struct Entry {
    Request* request = nullptr;
    Duration workAhead{0};
  };
  /// All queued requests, in the order in which they are to be started.
  std::vector<Entry> inOrder() const;
  /// Whether the request is the first one in that order.
  bool isFirst(const Request& request) const;

 private:
  struct Key {
    Instant latestStart;
    std::uint64_t arrivalNumber = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Flow {
    std::map<Key, Request*> waiting;
    Duration served{0};  // prefill work of the started requests, divided by the class's priority weight
  };

  static Key keyOf(const Request& request) { return {request.latestStart, request.arrivalNumber}; }
  void appendInOrder(bool overQuota, std::vector<Entry>& order, Duration& workAhead) const;

  const DecisionContext& context_;
  std::map<FlowKey, Flow> flows_;
  std::size_t size_ = 0;
};

}  // namespace gannetcourse::policy
