#!/usr/bin/env bash
# Builds every stand-in that the scripts start. They are Python programs that need the standard library only, so this
# checks that they compile; the daemon itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in standins.py [0-9]*/case.py; do
  [ -e "$file" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
