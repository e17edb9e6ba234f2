#include "net/endpoint.h"

#include <arpa/inet.h>

#include <charconv>
#include <system_error>

namespace gannetcourse::net {

std::optional<sockaddr_in> socketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  return address;
}

std::optional<Endpoint> parseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (error != std::errc() || stop != end || !socketAddress(endpoint)) return std::nullopt;
  return endpoint;
}

}  // namespace gannetcourse::net
