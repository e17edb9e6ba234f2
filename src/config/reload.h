// What a running node serves by after a reload. Pure: no I/O, clock or threads.
#pragma once

#include <optional>
#include <string_view>

#include "config/settings.h"

namespace gannetcourse::config {

/// The fresh settings with classes, tenants and zones at indices whose meaning never changes while the node
/// runs: accepted requests are finished under the class that they came with. An entry equal to one of
/// `running` keeps its index; new or different ones are appended; entries that `fresh` lacks stay, out of
/// service. So a reload of an earlier file finds the earlier indices. Each reload that changes a class adds
/// an index until the next start.
NodeSettings mergeForReload(const NodeSettings& running, NodeSettings fresh);

/// The index of the class or tenant that requests may name; absent: it is not in service.
std::optional<std::size_t> findClassInService(const NodeSettings& settings, std::string_view name);
std::optional<std::size_t> findTenantInService(const NodeSettings& settings, std::string_view name);

}  // namespace gannetcourse::config
