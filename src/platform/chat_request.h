// Parses the HTTP chat requests that clients send to a node on the platform.
#pragma once

#include <string>
#include <variant>

#include "gannetcourse/router.h"
#include "http1/parser.h"
#include "instance/instance_settings.h"

namespace gannetcourse::platform {

/// An error response that the node sends without passing the request to the core: the HTTP status and one
/// line of text for the client.
struct RequestError {
  int status = 400;
  std::string reason;
};

/// Parses the header fields and the body of a request. `key` of the result is left to be set by the caller.
/// On success, the body and the target are moved out of `request`.
std::variant<router::NewRequest, RequestError> parseChatRequest(http1::Request& request,
                                                                const instance::InstanceNames& names);

}  // namespace gannetcourse::platform
