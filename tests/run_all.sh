#!/usr/bin/env bash
# The project's test command: format, module size, lint, sanitizer build, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=$(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror $sources
bash tests/check_module_size.sh src/policy.cpp
cmake --preset ci
cmake --build --preset ci -j"$(nproc)"
clang-tidy -quiet -p build-ci src/policy.cpp wirehost/wire.cpp wirehost/main.cpp
ctest --preset ci
