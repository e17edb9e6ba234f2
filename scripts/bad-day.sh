#!/usr/bin/env bash
# The main job on a fresh machine: installs what is missing, builds, plays the scripted bad day and audits it.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
cmake --preset release
cmake --build --preset release
exec build/gannetcourse-lab day lab/days/bad-day.xml "$@"
