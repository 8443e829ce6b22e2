#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the daemon, whose build is that of the deploy file.
# Their stand-ins are Python programs of this folder, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/mesh_stand_in.py review/*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
