// Heads of the HTTP/1.1 requests that a node sends to engines and to discovery.
#pragma once

#include <string>

#include "net/connection.h"

namespace gannetcourse::platform {

/// The head of a request to `to`, its empty line included. `moreFields` are complete lines, each with its
/// CRLF.
inline std::string requestHead(const std::string& method, const std::string& target, const net::Endpoint& to,
                               const std::string& moreFields = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: " + to.text() + "\r\n" + moreFields + "\r\n";
}

}  // namespace gannetcourse::platform
