// Engine lists as XML: <fleet xmlns="urn:gannetcourse:fleet:1"> of <engine .../>.
#pragma once

#include <string>
#include <string_view>

#include "discovery/engine_list.h"

namespace gannetcourse::discovery {

/// Reads a whole list. Throws config::InvalidFile where it cannot be read, does not fit the schema, has an
/// engine twice or an address that nothing can connect to.
EngineList loadEngineListFile(const std::string& path, const EntryResolver& resolver);

/// The list as text that loadEngineListFile() reads; removed engines are left out.
std::string formatEngineList(const EngineList& list);

/// The built-in XML schema of these files.
std::string_view engineListSchema();

}  // namespace gannetcourse::discovery
