#!/usr/bin/env bash
# Measures the processor time, memory and bytes of one entry VM and of its targets at several numbers of idle targets, with
# real processes on loopback. Usage: entry_slope.sh [TARGETS...]
set -euo pipefail
cd "$(dirname "$0")/../.."
sizes=("$@")
[ "${#sizes[@]}" -gt 0 ] || sizes=(20 40 80)
daemon=build/release/src/app/mangoroadd/mangoroadd
standin=build/release/tests/standins/standin_target/standin_target
ticks=$(getconf CLK_TCK)
window=10

# ticks_of PID...: processor time of processes, in clock ticks.
ticks_of() { local sum=0; for pid in "$@"; do sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat"))); done; echo "$sum"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
loopback_bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }

echo "| targets | entry VM, % of a core | entry VM, MB | target, % of a core | target, MB | bytes/s a target, both ways |"
echo "| --- | --- | --- | --- | --- | --- |"
for size in "${sizes[@]}"; do
  pids=()
  "$daemon" --name vm-1 --failure-domain d --voter vm-1 --http-listen 127.0.0.1:19100 --peer-listen 127.0.0.1:19101 \
    --data-dir "$(mktemp -d)" 2>/dev/null &
  daemon_pid=$!
  sleep 1
  for n in $(seq "$size"); do
    "$standin" --id "t$n" --listen "127.0.0.1:$((19200 + n))" --entry 127.0.0.1:19100 --failure-domain d --rack r \
      --leave-time-s 1 2>/dev/null &
    pids+=("$!")
  done
  sleep 5
  daemon_before=$(ticks_of "$daemon_pid")
  target_before=$(ticks_of "${pids[@]}")
  bytes_before=$(loopback_bytes)
  sleep "$window"
  awk -v d=$(($(ticks_of "$daemon_pid") - daemon_before)) -v t=$(($(ticks_of "${pids[@]}") - target_before)) \
    -v b=$(($(loopback_bytes) - bytes_before)) -v n="$size" -v hz="$ticks" -v w="$window" \
    -v dr="$(rss_kb "$daemon_pid")" -v tr="$(rss_kb "${pids[0]}")" \
    'BEGIN { printf "| %d | %.2f | %.1f | %.3f | %.1f | %.0f |\n", n, 100 * d / hz / w, dr / 1024, 100 * t / hz / w / n, tr / 1024, b / w / n }'
  kill "${pids[@]}" "$daemon_pid" 2>/dev/null || true
  sleep 2
  kill -9 "${pids[@]}" "$daemon_pid" 2>/dev/null || true
  wait 2>/dev/null || true
done
