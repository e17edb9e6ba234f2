// Merges reloaded settings into those of a running node. Pure functions: no I/O, clock or threads.
#pragma once

#include <optional>
#include <string_view>

#include "config/settings.h"

namespace gannetcourse::config {

/// Returns `updated` with its classes, tenants and zones at stable indices: accepted requests refer to their
/// class and tenant by index and are finished under it. A class equal to one of `running`, and a tenant or
/// zone of the same name, keeps its index; others are appended; classes and tenants that `updated` lacks are
/// kept with inService = false. Reloading an earlier file thus restores the earlier indices. Each reload with
/// a changed class adds an index until the node restarts.
NodeSettings mergeForReload(const NodeSettings& running, NodeSettings updated);

/// The index of the class or tenant of this name; std::nullopt if there is none in service.
std::optional<std::size_t> findClassInService(const NodeSettings& settings, std::string_view name);
std::optional<std::size_t> findTenantInService(const NodeSettings& settings, std::string_view name);

}  // namespace gannetcourse::config
