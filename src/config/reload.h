// Merges reloaded settings into those of a running node. Pure functions: no I/O, clock or threads.
#pragma once

#include <optional>
#include <string_view>

#include "config/settings.h"

namespace gannetcourse::config {

/// Returns `updated` with its classes, tenants and zones at stable indices: accepted requests refer to their
/// class and tenant by index and are finished under these.
/// Classes, tenants and zones that are also in `running` keep their indices: classes match if their names and
/// policy settings are equal, tenants and zones if their names are. Others are appended. Classes and tenants
/// that are only in `running` are kept with inService = false. Reloading an earlier file thus restores the
/// earlier indices. A changed class takes a new index, unless an earlier class with the same settings has
/// one; unused indices are removed only by a restart.
NodeSettings mergeForReload(const NodeSettings& running, NodeSettings updated);

/// The index of the class or tenant of this name; std::nullopt if there is none in service.
std::optional<std::size_t> findClassInService(const NodeSettings& settings, std::string_view name);
std::optional<std::size_t> findTenantInService(const NodeSettings& settings, std::string_view name);

}  // namespace gannetcourse::config
