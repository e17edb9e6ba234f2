#include "request_queue.h"

#include <algorithm>
#include <optional>

namespace gannetcourse::policy {

// A flow that had nothing waiting has no claim on the time before: it begins level with the flow that has
// been served least of those that wait.
void RequestQueue::add(Request& request) {
  Flow& flow = flows_[request.flow()];
  if (flow.waiting.empty()) {
    std::optional<Duration> least;
    for (const auto& [key, other] : flows_) {
      if (key.overQuota != request.overQuota || other.waiting.empty()) continue;
      least = least ? std::min(*least, other.served) : other.served;
    }
    if (least) flow.served = std::max(flow.served, *least);
  }
  if (flow.waiting.try_emplace(keyOf(request), &request).second) ++size_;
}

void RequestQueue::remove(const Request& request) {
  const auto flow = flows_.find(request.flow());
  if (flow != flows_.end()) size_ -= flow->second.waiting.erase(keyOf(request));
}

void RequestQueue::removeStarted(const Request& request) {
  remove(request);
  flows_[request.flow()].served += request.prefillWork / context_.weightOf(request.flow());
}

std::vector<RequestQueue::Entry> RequestQueue::inOrder() const {
  std::vector<Entry> order;
  order.reserve(size_);
  Duration workAhead{0};
  appendInOrder(false, order, workAhead);
  appendInOrder(true, order, workAhead);
  return order;
}

bool RequestQueue::isFirst(const Request& request) const {
  const Flow* first = nullptr;
  bool firstIsOverQuota = false;
  for (const auto& [key, flow] : flows_) {
    if (flow.waiting.empty() || (first != nullptr && key.overQuota != firstIsOverQuota)) continue;
    if (first == nullptr || flow.served < first->served) first = &flow;
    firstIsOverQuota = key.overQuota;
  }
  return first != nullptr && first->waiting.begin()->second == &request;
}

// Merges the flows: next comes the first request of the flow that has been served least.
void RequestQueue::appendInOrder(bool overQuota, std::vector<Entry>& order, Duration& workAhead) const {
  struct Cursor {
    Duration served{0};
    double weight = 1;
    std::map<Key, Request*>::const_iterator next, end;
  };
  std::vector<Cursor> cursors;
  for (const auto& [key, flow] : flows_) {
    if (key.overQuota != overQuota || flow.waiting.empty()) continue;
    cursors.push_back({flow.served, context_.weightOf(key), flow.waiting.begin(), flow.waiting.end()});
  }
  while (!cursors.empty()) {
    const auto least = std::min_element(cursors.begin(), cursors.end(),
                                        [](const Cursor& a, const Cursor& b) { return a.served < b.served; });
    Request* const request = least->next->second;
    order.push_back({request, workAhead});
    workAhead += request->prefillWork;
    least->served += request->prefillWork / least->weight;
    if (++least->next == least->end) cursors.erase(least);
  }
}

}  // namespace gannetcourse::policy
