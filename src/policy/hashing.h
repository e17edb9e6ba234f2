// Hash functions with the same results on every router.
#pragma once

#include <cstdint>

namespace gannetcourse::policy {

/// Hash of a key and an id; all bits of the result depend on both.
inline std::uint64_t hashCombine(std::uint64_t key, std::uint64_t id) {
  std::uint64_t x = key ^ (id * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// Maps a hash uniformly to [0, 1).
inline double toUnitInterval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1.0p-53; }

}  // namespace gannetcourse::policy
