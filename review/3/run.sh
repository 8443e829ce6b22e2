#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout --kill-after=5 118 python3 case.py
