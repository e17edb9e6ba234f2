// The memory of this process as the kernel and the allocator count it.
#pragma once

#include <cstdint>

namespace gannetcourse::platform {

/// Bytes; 0 where a figure cannot be read.
struct ProcessMemory {
  std::uint64_t resident = 0;         ///< Pages in memory, those of the program and its libraries included.
  std::uint64_t residentPeak = 0;     ///< The highest value of `resident` since the start.
  std::uint64_t residentPrivate = 0;  ///< The part of `resident` that no file backs.
  std::uint64_t heapInUse = 0;        ///< Allocated and not freed, with the allocator's own overhead.
  std::uint64_t heapFree = 0;         ///< The allocator's slack: freed, or never used, but not returned.
};

/// Reads the figures from /proc and from the allocator.
ProcessMemory processMemory();

/// Returns the allocator's free pages to the kernel.
void trimHeap();

}  // namespace gannetcourse::platform
