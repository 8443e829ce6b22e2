#!/usr/bin/env bash
# Demonstrates configuration distribution on loopback: a store stand-in, three daemons in two data centres and two
# upstreams of one service. Applies a folder, sends requests, edits a file, drains an upstream, and prints each step
# with its measured time. Exits with a non-zero status as soon as a step fails.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${PRESET:-release}
scripts/install_packages.sh
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" --target amaranthladderd amaranthladder amaranthladder_store_stand_in \
  amaranthladder_fake_upstream amaranthladder_load >/dev/null
bin=build/$preset
work=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

step_number=0
now_ms() { date +%s%3N; }
step() { step_number=$((step_number + 1)); printf '%d. %s\n' "$step_number" "$*"; }
fail() { echo "FAILED: $*" >&2; tail -n 5 "$work"/*.log >&2; exit 1; }
# Waits until a command succeeds, for at most 15 seconds.
wait_for() {
  local deadline=$(( $(now_ms) + 15000 ))
  until "$@" >/dev/null 2>&1; do
    [ "$(now_ms)" -lt "$deadline" ] || return 1
    sleep 0.02
  done
}
# Prints a port that is currently free for UDP and TCP.
free_port() {
  python3 -c '
import socket
while True:
    tcp = socket.socket(); tcp.bind(("127.0.0.1", 0))
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp.bind(("127.0.0.1", tcp.getsockname()[1]))
    except OSError:
        continue
    print(tcp.getsockname()[1]); break'
}
field() { python3 -c 'import json,sys
value = json.load(sys.stdin)
for key in sys.argv[1].split("."):
    value = value[int(key)] if isinstance(value, list) else value[key]
print(value)' "$1"; }
status_field() { curl -sf "http://127.0.0.1:${control[$1]}/v1/status" | field "$2"; }
has_version() { for n in 0 1 2; do [ "$(status_field $n configuration.version)" -ge "$1" ] || return 1; done; }
# The longest time from the publication of the version in force to its application, over all daemons.
slowest_ms() {
  for n in 0 1 2; do
    curl -sf "http://127.0.0.1:${control[n]}/v1/status" | python3 -c 'import json, sys
from datetime import datetime
shown = json.load(sys.stdin)["configuration"]
at = lambda key: datetime.fromisoformat(shown[key].replace("Z", "+00:00"))
print(round((at("applied_at") - at("published_at")).total_seconds() * 1000))'
  done | sort -n | tail -n 1
}
knows_upstreams() { for n in 0 1 2; do [ "$(status_field $n upstreams_known)" -eq "$1" ] || return 1; done; }

command -v curl >/dev/null || fail "curl is required"

store_port=$(free_port)
"$bin/bench/amaranthladder_store_stand_in" --listen "127.0.0.1:$store_port" >"$work/store.log" 2>&1 &
pids+=($!)
centers=(rosario-a rosario-a santafe-a)
declare -a request control peer
for n in 0 1 2; do request[n]=$(free_port); control[n]=$(free_port); peer[n]=$(free_port); done
for n in 0 1 2; do
  cat >"$work/daemon$n.ini" <<INI
[daemon]
mesh = litoral
region = rosario
data_center = ${centers[n]}
worker = worker-$n
[listen]
requests = 127.0.0.1:${request[n]}
control = 127.0.0.1:${control[n]}
peers = 127.0.0.1:${peer[n]}
[store]
address = 127.0.0.1:$store_port
[peers]
seeds = 127.0.0.1:${peer[0]}, 127.0.0.1:${peer[1]}
[log]
file = $work/daemon$n.log
INI
  "$bin/amaranthladderd" --settings "$work/daemon$n.ini" --check >/dev/null || fail "settings of daemon $n"
  "$bin/amaranthladderd" --settings "$work/daemon$n.ini" >"$work/daemon$n.out" 2>&1 &
  pids+=($!)
done
for n in 0 1 2; do wait_for curl -sf "http://127.0.0.1:${control[n]}/v1/status" || fail "daemon $n does not start"; done
step "store stand-in and three daemons run in two data centres (rosario-a, santafe-a)"

declare -a upstream_pid
for n in 0 1; do
  "$bin/bench/amaranthladder_fake_upstream" --daemon "127.0.0.1:${control[n]}" --id "tienda-$n" --service tienda \
    --version v1 --slots 12 >"$work/upstream$n.log" 2>&1 &
  upstream_pid[n]=$!
  pids+=($!)
done
step "two upstreams of service tienda announce themselves to daemons 0 and 1"

mkdir "$work/folder"
cat >"$work/folder/10-tienda.ini" <<'INI'
[service tienda]
timeout_ms = 2000
queue_limit = 16
[route kits]
service = tienda
path_prefix = /kits
INI
start=$(now_ms)
"$bin/amaranthladder" apply "$work/folder" --store "127.0.0.1:$store_port" || fail "apply"
wait_for has_version 1 || fail "version 1 is not in force on every daemon"
step "folder applied, version 1 in force on all daemons after $(slowest_ms) ms (after $(( $(now_ms) - start )) ms as seen by this script)"
wait_for knows_upstreams 2 || fail "not every daemon knows both upstreams"

for n in 0 1 2; do
  [ "$(curl -sf "http://127.0.0.1:${request[n]}/kits/1")" = "version v1" ] || fail "GET through daemon $n"
  [ "$(curl -sf -d 'order 1' "http://127.0.0.1:${request[n]}/kits/orders")" = "order 1" ] || fail "POST through daemon $n"
done
step "GET and POST answered through each daemon; daemon 2 has no upstream and uses the others' daemons"

code=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:${request[2]}/stands")
[ "$code" = 404 ] || fail "/stands should have no route yet, got $code"
cat >"$work/folder/20-stands.ini" <<'INI'
[route stands]
service = tienda
path_prefix = /stands
INI
start=$(now_ms)
"$bin/amaranthladder" apply "$work/folder" --store "127.0.0.1:$store_port" || fail "apply"
wait_for has_version 2 || fail "version 2 is not in force on every daemon"
step "folder edited, version 2 in force on all daemons after $(slowest_ms) ms (after $(( $(now_ms) - start )) ms as seen by this script)"
[ "$(curl -sf "http://127.0.0.1:${request[2]}/stands/1")" = "version v1" ] || fail "GET /stands"
step "the new route answers through daemon 2"

printf '[route broken]\nservice = nowhere\npath_prefix = /x\n' >"$work/folder/30-broken.ini"
if "$bin/amaranthladder" apply "$work/folder" --store "127.0.0.1:$store_port" >"$work/refused.log" 2>&1; then
  fail "a folder with an unknown service was applied"
fi
[ "$(status_field 0 configuration.version)" -eq 2 ] || fail "a refused folder changed the version"
rm "$work/folder/30-broken.ini"
step "a folder with an error is refused: $(head -n 1 "$work/refused.log" | sed "s#$work/##")"

"$bin/bench/amaranthladder_load" --target "mesh=127.0.0.1:${request[2]}" --path /kits/1 --rate 200 --seconds 6 \
  --connections 20 >"$work/load.csv" 2>"$work/load.log" &
load_pid=$!
sleep 1
start=$(now_ms)
kill -TERM "${upstream_pid[0]}"
wait_for knows_upstreams 1 || fail "the leaving upstream is still used"
step "upstream tienda-0 leaves; no daemon uses it after $(( $(now_ms) - start )) ms"
wait "$load_pid" || fail "calls failed during the drain: $(cat "$work/load.log")"
step "calls during the drain: $(tail -n 1 "$work/load.csv" | cut -d, -f5) of $(tail -n 1 "$work/load.csv" | cut -d, -f4) good"

"$bin/amaranthladder" status --daemon "127.0.0.1:${control[0]}" >"$work/status.txt" || fail "status"
"$bin/amaranthladder" explain --request "GET /kits/1" --daemon "127.0.0.1:${control[2]}" >"$work/explain.txt" || fail "explain"
step "status and explain answer: $(head -c 160 "$work/explain.txt" | tr '\n' ' ')"

start=$(now_ms)
kill -TERM "${pids[3]}"
wait "${pids[3]}" || fail "daemon 2 did not end cleanly"
step "daemon 2 drained and ended after $(( $(now_ms) - start )) ms"
echo "all steps passed"
