#!/usr/bin/env bash
# Shows two moves with real processes: a bad version that is taken back and a good one that is done by its deadline.
exec "$(dirname "$0")/../bench/move.py" --build "$(dirname "$0")/../build/${PRESET:-release}" "$@"
