// The requests of a core, by their host's key, by their name for the policy and by their name for engines.
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
  /// The new request is known to the policy by its name. It is not yet found by its name for engines.
  Request& add(RequestKey key, const std::string& name);

  Request* find(RequestKey key);
  const Request* find(RequestKey key) const;
  Request* findByPolicyId(const RequestId& id);
  Request* findById(const std::string& id);

  /// Lets the request be found by Request::id; a request that was there under this name stays.
  void indexById(const Request& request) { keysById_.emplace(request.id, request.key); }
  /// The same, instead of a request that was there under this name.
  void replaceById(const Request& request) { keysById_[request.id] = request.key; }

  /// The policy is to know the request by `policyId` from now on.
  void setPolicyId(Request& request, std::string policyId);
  /// The policy is done with the request under its present name.
  void clearPolicyId(const Request& request) { keysByPolicyId_.erase(request.policyId); }

  /// Marks a request that may have become ready to be erased.
  void touch(const Request& request) { touched_.push_back(request.key); }
  /// The requests touched since the last call, some more than once, some perhaps erased since.
  std::vector<RequestKey> takeTouched() { return std::exchange(touched_, {}); }
  void erase(const Request& request);

  std::size_t size() const { return requests_.size(); }
  std::size_t openCount() const;  ///< Requests without their final response.

 private:
  std::unordered_map<RequestKey, Request> requests_;
  std::unordered_map<std::string, RequestKey> keysByPolicyId_;
  std::unordered_map<std::string, RequestKey> keysById_;
  std::vector<RequestKey> touched_;
};

}  // namespace gannetcourse::router
