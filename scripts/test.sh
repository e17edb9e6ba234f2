#!/usr/bin/env bash
# The project's test command: installs what is missing, then format, module size, sanitizer build, lint, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
mapfile -t sources < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror "${sources[@]}"
bash tests/check_module_size.sh src/policy/policy.cpp
cmake --preset ci
cmake --build --preset ci
bash scripts/lint.sh build-ci
bash scripts/run_tests.sh KNOWN-RED.txt ctest --preset ci
# Threads: nodes on threads of one process, and the daemon with its log's thread.
cmake --preset tsan
cmake --build --preset tsan
build-tsan/gannetcourse-lab day lab/days/calm.xml --in-process --quiet
build-tsan/gannetcourse-lab day lab/days/calm.xml --quiet
