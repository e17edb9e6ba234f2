#!/usr/bin/env bash
# clang-tidy over all C++ sources, by the compile commands of the given build folder; black and py_compile over Python.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 2 clang-tidy -quiet -p "$build"
mapfile -t python < <(git ls-files '*.py')
black --quiet --check --line-length 120 "${python[@]}"
PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m py_compile "${python[@]}"
