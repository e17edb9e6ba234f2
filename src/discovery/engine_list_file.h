// Reads and writes engine lists as XML: <fleet xmlns="urn:gannetcourse:fleet:1"> of <engine .../>.
#pragma once

#include <string>
#include <string_view>

#include "discovery/engine_list.h"

namespace gannetcourse::discovery {

/// Reads a whole list. Throws config::InvalidFile if the file cannot be read, does not match the schema,
/// lists an engine twice, or has an address that is no IPv4 address with a port above 0.
EngineList loadEngineListFile(const std::string& path, const EntryResolver& resolver);

/// Formats the list for loadEngineListFile(), without removed engines.
std::string formatEngineList(const EngineList& list);

/// The built-in XML schema of these files.
std::string_view engineListSchema();

}  // namespace gannetcourse::discovery
