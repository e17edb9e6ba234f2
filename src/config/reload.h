// What a running node serves by after a reload. Pure: no I/O, clock or threads.
#pragma once

#include <optional>
#include <string_view>

#include "config/settings.h"

namespace gannetcourse::config {

// The fresh settings with classes, tenants and zones at places that never change their meaning while the node
// runs: requests that it has taken are finished under the class that they came with. What is the same as at a
// place of `running` keeps that place; what is new or differs comes after them; what `fresh` no longer has
// stays out of service. So the way back, a reload of the old file, finds the old places. Each reload that
// changes a class adds a place until the next start.
NodeSettings mergeForReload(const NodeSettings& running, NodeSettings fresh);

// The place of a class or tenant that requests may name; absent: it is not in service.
std::optional<std::size_t> findClassInService(const NodeSettings& settings, std::string_view name);
std::optional<std::size_t> findTenantInService(const NodeSettings& settings, std::string_view name);

}  // namespace gannetcourse::config
