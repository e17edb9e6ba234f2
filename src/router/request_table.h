// The requests of a core, indexed by the host's key, by policy id and by the id that engines know.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gannetcourse/router.h"
#include "router/request.h"

namespace gannetcourse::router {

/// Owns the requests from their arrival until they are completed and have no call in flight. Pointers to
/// requests stay valid until erase().
class RequestTable {
 public:
  /// Adds a request whose id and policy id are `name`. findById() does not find it before indexById() or
  /// replaceById().
  Request& add(RequestKey key, const std::string& name);

  Request* find(RequestKey key);
  const Request* find(RequestKey key) const;
  Request* findByPolicyId(const RequestId& id);
  Request* findById(const std::string& id);

  /// Makes findById() find the request by Request::id, unless another request is already indexed under it.
  void indexById(const Request& request) { keysById_.emplace(request.id, request.key); }
  /// Makes findById() find the request by Request::id, even if another request was indexed under this id
  /// before.
  void replaceById(const Request& request) { keysById_[request.id] = request.key; }

  /// Sets the request's policy id and indexes the request under it.
  void setPolicyId(Request& request, std::string policyId);
  /// Removes the request from the index of policy ids. To be called when the policy no longer uses the id.
  void clearPolicyId(const Request& request) { keysByPolicyId_.erase(request.policyId); }

  /// Marks a request that may be finished and has to be checked at the end of the step.
  void touch(const Request& request) { touched_.push_back(request.key); }
  /// The requests marked since the last call. A key may occur more than once or belong to an erased request.
  std::vector<RequestKey> takeTouched() { return std::exchange(touched_, {}); }
  void erase(const Request& request);

  std::size_t size() const { return requests_.size(); }
  std::size_t openCount() const;  ///< Number of requests that are not completed.

 private:
  std::unordered_map<RequestKey, Request> requests_;
  std::unordered_map<std::string, RequestKey> keysByPolicyId_;
  std::unordered_map<std::string, RequestKey> keysById_;
  std::vector<RequestKey> touched_;
};

}  // namespace gannetcourse::router
