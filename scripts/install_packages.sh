#!/usr/bin/env bash
# Installs the packages listed in packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < <(grep -v '^#' packages.txt)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
