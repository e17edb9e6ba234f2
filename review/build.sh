#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are in Python, so this only checks that each can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=$(mktemp -d) python3 -m py_compile common/*.py ./*/case.py
