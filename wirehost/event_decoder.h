// Decodes the messages of the platform's simulator into events of the decision module.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/policy.h"
#include "instance/instance_settings.h"

namespace gannetcourse::wire {

/// Decodes the message `name` with its fields. Returns nothing for messages that the decision module ignores.
/// Throws instance::MalformedInput if the message is unknown or malformed.
std::optional<Event> decodeEvent(const std::string& name, const instance::Json& fields,
                                 const instance::InstanceNames& names);

}  // namespace gannetcourse::wire
