#!/usr/bin/env bash
# The project's test command: installs what is missing, then format, length of files, sanitizer build, lint, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
# Compilations are cached across build folders: paths below this one count as relative.
export CMAKE_CXX_COMPILER_LAUNCHER=ccache CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
mapfile -t sources < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror "${sources[@]}"
mapfile -t measured < <(git ls-files '*.cpp' '*.h' '*.py')
bash tests/check_file_length.sh "${measured[@]}"
cmake --preset ci
cmake --build --preset ci
bash scripts/lint.sh build-ci
bash scripts/run_tests.sh KNOWN-RED.txt ctest --preset ci
# Threads: nodes on threads of one process, and the daemon with its log's thread.
cmake --preset tsan
cmake --build --preset tsan
build-tsan/gannetcourse-lab day lab/days/calm.xml --in-process --quiet
build-tsan/gannetcourse-lab day lab/days/calm.xml --quiet
