#!/usr/bin/env bash
# Runs the lab's main scenario on a fresh machine: installs missing packages, builds, runs the "bad day" with its audit.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
cmake --preset release
cmake --build --preset release
exec build/gannetcourse-lab day lab/days/bad-day.xml "$@"
