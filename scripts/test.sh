#!/usr/bin/env bash
# The project's test command: installs missing packages, checks format and file lengths, builds with sanitizers, then
# runs the linters, the tests and two lab scenarios under ThreadSanitizer.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
# ccache shares compilations between build folders: it treats paths below this folder as relative.
export CMAKE_CXX_COMPILER_LAUNCHER=ccache CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
mapfile -t sources < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror "${sources[@]}"
mapfile -t checked < <(git ls-files '*.cpp' '*.h' '*.py')
bash tests/check_file_length.sh "${checked[@]}"
cmake --preset ci
cmake --build --preset ci
bash scripts/lint.sh build-ci
bash scripts/run_tests.sh KNOWN-RED.txt ctest --preset ci
# ThreadSanitizer: nodes on threads of one process, and the daemon with its log thread.
cmake --preset tsan
cmake --build --preset tsan
build-tsan/gannetcourse-lab day lab/days/calm.xml --in-process --quiet
build-tsan/gannetcourse-lab day lab/days/calm.xml --quiet
