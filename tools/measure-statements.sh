#!/usr/bin/env bash
# Measures one daemon with stand-in endpoints on loopback: latency through the
# daemon and directly at the stand-in, throughput with 64 and with 10,000 open
# callers, and the daemon's memory. "hop" runs the holder in a second process.
# Usage: tools/measure-statements.sh [hop]. Takes about 40 s.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=${1:-one}
seconds=${SECONDS_PER_RUN:-3}
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$dir"
}
trap stop EXIT
go build -o "$dir/" ./cmd/hemlockmastd ./cmd/hemlockmast-standin ./cmd/hemlockmast-measure

mkdir "$dir/config"
cat > "$dir/config/group.hemlock.json" <<'J'
{"group": {"name": "g", "databases": ["db"], "slots": [
  {"name": "s1", "failure_domain": "a", "connection_limit": 60},
  {"name": "s2", "failure_domain": "b", "connection_limit": 60},
  {"name": "s3", "failure_domain": "c", "connection_limit": 60}]}}
J
cat > "$dir/config/service.hemlock.json" <<'J'
{"service": {"name": "svc", "group": "g", "databases": ["db"], "users": ["app"],
  "deadline": "5s", "concurrency": 1000, "queue_length": 20000, "repeatable": false,
  "connections": {"min": 1, "max": 57}}}
J

# Prints a peer entry of a settings file.
# peer NAME DOMAIN ROLES PORT-PREFIX
peer() {
  printf '{"name":"%s","failure_domain":"%s","roles":[%s],"link":"127.0.0.1:%s1","admin":"127.0.0.1:%s2","heartbeat":"127.0.0.1:%s3"}' \
    "$1" "$2" "$3" "$4" "$4" "$4"
}
# Prints a settings file.
# settings NAME DOMAIN ROLES CALLERS PORT-PREFIX PEERS
settings() {
  printf '{"name":"%s","failure_domain":"%s","roles":[%s],"listen":{%s"link":"127.0.0.1:%s1","admin":"127.0.0.1:%s2","heartbeat":"127.0.0.1:%s3"},"configuration_folders":["%s"],"limits":{"drain_timeout":"1s","holders_per_slot":1},"peers":[%s]}' \
    "$1" "$2" "$3" "$4" "$5" "$5" "$5" "$dir/config" "$6"
}
callers='"callers":"127.0.0.1:17000",'
if [ "$mode" = hop ]; then
  settings e1 a '"entry"' "$callers" 1701 "$(peer h1 b '"holder"' 1702)" > "$dir/e1.json"
  settings h1 b '"holder"' '' 1702 "$(peer e1 a '"entry"' 1701)" > "$dir/h1.json"
  GOMAXPROCS=4 "$dir/hemlockmastd" run -s "$dir/h1.json" 2>/dev/null &
  pids+=($!)
else
  settings e1 a '"entry","holder"' "$callers" 1701 "" > "$dir/e1.json"
fi
GOMAXPROCS=4 "$dir/hemlockmastd" run -s "$dir/e1.json" 2>/dev/null &
entry=$!
pids+=($entry)
sleep 0.5
for i in 1 2 3; do
  role=(--follow 127.0.0.1:17501)
  if [ "$i" = 1 ]; then role=(--primary); fi
  "$dir/hemlockmast-standin" --conn-limit 200 --group g --slot "s$i" --database db \
    --announce http://127.0.0.1:17012 --addr "127.0.0.1:1750$i" "${role[@]}" > /dev/null &
  pids+=($!)
  sleep 0.2
done
sleep 2

direct=postgres://app@127.0.0.1:17501/db
through=postgres://app@127.0.0.1:17000/db
load() { "$dir/hemlockmast-measure" load --duration "${seconds}s" "$@"; }
echo "daemon with no callers: $(grep VmRSS /proc/$entry/status)"
load --url $through --open 10000 --active 1 --warmup 3s > /dev/null &
pid=$!
sleep 4
echo "daemon with 10000 idle: $(grep VmRSS /proc/$entry/status)"
wait "$pid"
for round in 1 2 3; do
  echo "round $round"
  echo "  1 caller, direct:         $(load --url $direct)"
  echo "  1 caller, through:        $(load --url $through)"
  echo "  64 callers, through:      $(load --url $through --open 64 --active 64)"
  echo "  10000 open, 128 active:   $(load --url $through --open 10000 --active 128 --warmup 2s)"
done
