#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each for SECONDS_EACH seconds (60 if not set), one after the other.
# Failing inputs are stored in build/fuzz/found; add them as cases to the tests of the class.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset fuzz >/dev/null
cmake --build --preset fuzz --target fuzz_programs
mkdir -p build/fuzz/found
# Without this option, undefined behaviour is only printed and does not fail the run.
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
for program in build/fuzz/fuzz/*_fuzz; do
  name=$(basename "$program")
  corpus=build/fuzz/corpus/$name
  mkdir -p "$corpus"
  case $name in
    ini_reader_fuzz) cp docs/examples/*/*.ini "$corpus" ;;
    platform_fuzz) cp fuzz/seeds/*.json "$corpus" ;;
    peer_message_fuzz) ;;
    *) cp fuzz/seeds/*.rows "$corpus" ;;
  esac
  echo "$name"
  "$program" -max_total_time="${SECONDS_EACH:-60}" -max_len=4096 -rss_limit_mb=1024 -use_value_profile=1 \
    -artifact_prefix=build/fuzz/found/ -print_final_stats=1 -verbosity=0 "$corpus"
done
