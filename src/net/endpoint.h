// IPv4 endpoints and their conversions from text and to socket addresses.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gannetcourse::net {

/// An IPv4 address and port: "127.0.0.1:8080".
struct Endpoint {
  std::string host = "127.0.0.1";  ///< Dotted quad; names are not resolved.
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
  std::string text() const { return host + ":" + std::to_string(port); }
};

/// Parses "a.b.c.d:port"; std::nullopt for any other text.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// The address for the socket functions; std::nullopt if the host is not a dotted quad.
std::optional<sockaddr_in> socketAddress(const Endpoint& endpoint);

}  // namespace gannetcourse::net
