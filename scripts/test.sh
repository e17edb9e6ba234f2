#!/usr/bin/env bash
# The project's test command: installs what is missing, then format, length of files, sanitizer build, lint, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
mapfile -t sources < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror "${sources[@]}"
mapfile -t product < <(git ls-files 'src/*.cpp' 'src/*.h' 'include/*.h' 'wirehost/*.cpp' 'wirehost/*.h')
bash tests/check_file_length.sh "${product[@]}"
cmake --preset ci
cmake --build --preset ci
bash scripts/lint.sh build-ci
bash scripts/run_tests.sh KNOWN-RED.txt ctest --preset ci
# Threads: nodes on threads of one process, and the daemon with its log's thread.
cmake --preset tsan
cmake --build --preset tsan
build-tsan/gannetcourse-lab day lab/days/calm.xml --in-process --quiet
build-tsan/gannetcourse-lab day lab/days/calm.xml --quiet
