// Builds the heads of HTTP/1.1 requests that a node sends to engines and to discovery.
#pragma once

#include <string>

#include "net/connection.h"

namespace gannetcourse::platform {

/// The head of a request to `to`, including the empty line at its end. `moreFields` contains additional
/// header lines, each ending in CRLF.
inline std::string requestHead(const std::string& method, const std::string& target, const net::Endpoint& to,
                               const std::string& moreFields = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: " + to.text() + "\r\n" + moreFields + "\r\n";
}

}  // namespace gannetcourse::platform
