#include "router/request_table.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::router {

Request& RequestTable::add(RequestKey key, const std::string& name) {
  Request& request = requests_[key];
  request.key = key;
  request.name = name;
  request.id = name;
  request.policyId = name;
  keysByPolicyId_.emplace(name, key);
  return request;
}

Request* RequestTable::find(RequestKey key) {
  const auto it = requests_.find(key);
  return it == requests_.end() ? nullptr : &it->second;
}

const Request* RequestTable::find(RequestKey key) const {
  const auto it = requests_.find(key);
  return it == requests_.end() ? nullptr : &it->second;
}

Request* RequestTable::findByPolicyId(const RequestId& id) {
  const auto it = keysByPolicyId_.find(id.value);
  return it == keysByPolicyId_.end() ? nullptr : find(it->second);
}

Request* RequestTable::findById(const std::string& id) {
  const auto it = keysById_.find(id);
  return it == keysById_.end() ? nullptr : find(it->second);
}

void RequestTable::setPolicyId(Request& request, std::string policyId) {
  request.policyId = std::move(policyId);
  keysByPolicyId_.emplace(request.policyId, request.key);
}

void RequestTable::erase(const Request& request) {
  const RequestKey key = request.key;
  keysByPolicyId_.erase(request.policyId);
  const auto byId = keysById_.find(request.id);
  if (byId != keysById_.end() && byId->second == key) keysById_.erase(byId);
  requests_.erase(key);
}

std::size_t RequestTable::openCount() const {
  const auto isOpen = [](const auto& entry) { return !entry.second.isCompleted; };
  return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), isOpen));
}

}  // namespace gannetcourse::router
