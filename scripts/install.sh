#!/usr/bin/env bash
# Installs the missing packages of scripts/packages.txt. Needs root (or sudo) only if packages are missing.
set -euo pipefail
missing=()
while read -r package; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done < "$(dirname "$0")/packages.txt"
[ "${#missing[@]}" -eq 0 ] && exit 0
as_root=""
[ "$(id -u)" -eq 0 ] || as_root="sudo"
$as_root apt-get update -qq
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends "${missing[@]}"
