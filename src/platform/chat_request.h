// Parses the chat requests of the platform's clients.
#pragma once

#include <string>
#include <variant>

#include "gannetcourse/router.h"
#include "http1/parser.h"
#include "instance/instance_settings.h"

namespace gannetcourse::platform {

/// Why a request is answered by the node itself: an HTTP status and one line of text for the client.
struct RequestError {
  int status = 400;
  std::string reason;
};

/// Parses a request, its id included; the key is left to the caller. Takes the body and the target out of
/// `request` where it succeeds.
std::variant<router::NewRequest, RequestError> parseChatRequest(http1::Request& request,
                                                                const instance::InstanceNames& names);

}  // namespace gannetcourse::platform
