#!/usr/bin/env bash
# Runs clang-tidy on all C++ sources, with the compile commands of a build folder, then black and py_compile on all
# Python sources.
# usage: lint.sh BUILD-FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 2 clang-tidy -quiet -p "$build"
mapfile -t python < <(git ls-files '*.py')
black --quiet --check --line-length 120 "${python[@]}"
PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m py_compile "${python[@]}"
