#!/usr/bin/env bash
# Runs clang-tidy on the project's sources in parallel, or only on the files given as arguments.
# A file is skipped if it was linted without findings before with the same content, headers and configuration (results
# are cached beside the ccache folder, keyed by the hash of the preprocessed text).
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/${PRESET:-release}
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'bench/*.cpp' 'platform/*.cpp')
fi
cache="${XDG_CACHE_HOME:-$HOME/.cache}/amaranthladder-lint"
mkdir -p "$cache"
export build cache
lint_one() {
  local file=$1 key
  [ -f "$file" ] || return 0
  key=$({ cat .clang-tidy; clang-tidy --version; clang++ -std=c++20 -E -P -Isrc -I. -Ibench -isystem thrift/gen -DBOOST_TEST_DYN_LINK \
      -DTEST_TRACES_FOLDER='""' -DTEST_DEPLOY_FOLDER='""' -DTEST_PROGRAMS_FOLDER='""' -DAMARANTHLADDER_VERSION='""' "$file"; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy -p "$build" --quiet "$file" 2>/dev/null; then
    touch "$cache/$key"
  else
    echo "lint: $file" >&2
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
# Only the platform adapter may contain the platform's wire names.
if git grep -nE 'kv-(key|range|watch|txn|lease|keep)|X-(Tenant|Cold-Start-Ms|Server-Load|Not-Executed|Response-Signature|Expected-Instance|Caller-Service|Deadline)|op/(config|evacuate|rollout)|status/rollout|heartbeat_address' \
  -- src bench charts thrift ':!src/tests'; then
  echo "lint: the platform's wire names belong in platform/" >&2
  exit 1
fi
# Clocks of hosts jump, so nothing in the daemon may depend on the time of day, except the times in its log and the start
# of steady_clock. The operator's tool and the publisher that it uses run on the operator's host.
if git grep -nE 'absl::Now\(|system_clock|AwaitWith(Timeout|Deadline)|WaitWith(Timeout|Deadline)' \
  -- src platform ':!src/tests' ':!src/tool' ':!src/common/steady_clock.cpp' ':!src/store/publisher.h'; then
  echo "lint: use steady_clock or stop_signal, the time of day may jump" >&2
  exit 1
fi
