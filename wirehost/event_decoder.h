// Decodes the bench's messages into events of the decision module.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/policy.h"
#include "instance/instance_settings.h"

namespace gannetcourse::wire {

/// Decodes the message `name` with its fields. Returns nothing for messages that the module has no use for.
/// Throws instance::MalformedInput, for unknown messages as well.
std::optional<Event> decodeEvent(const std::string& name, const instance::Json& fields,
                                 const instance::InstanceNames& names);

}  // namespace gannetcourse::wire
