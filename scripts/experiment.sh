#!/usr/bin/env bash
# Fault experiment with real processes: two entry VMs in each of three failure domains, two targets each, steady load, and
# faults one after the other (kill of an entry VM, a pause of several seconds, kill of the leader). The history of callers is
# checked against the records of the targets. Usage: scripts/experiment.sh [RATE] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-200}
length=${2:-24}
daemon=build/release/src/app/mangoroadd/mangoroadd
ctl=build/release/src/tools/mangoctl/mangoctl
standin=build/release/tests/standins/standin_target/standin_target
load=build/release/src/tools/mangoload/mangoload
out=${EXPERIMENT_DIR:-build/experiment}
rm -rf "$out"
mkdir -p "$out"

pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  sleep 4
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT

domains=(kochi kochi thrissur thrissur kozhikode kozhikode)
names=(kochi-1 kochi-2 thrissur-1 thrissur-2 kozhikode-1 kozhikode-2)
http_of() { echo "127.0.0.1:$((18100 + $1))"; }
peer_of() { echo "127.0.0.1:$((18200 + $1))"; }
(umask 077; printf 'experiment %s\n' "$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')" >"$out/keys")

declare -A entry_pid
start_entry() {
  local i=$1
  local arguments=(--name "${names[$i]}" --failure-domain "${domains[$i]}" --http-listen "$(http_of "$i")"
    --peer-listen "$(peer_of "$i")" --key-file "$out/keys" --voter kochi-1 --voter thrissur-1 --voter kozhikode-1)
  [ $((i % 2)) = 0 ] && arguments+=(--data-dir "$out/${names[$i]}")
  for j in 0 1 2 3 4 5; do
    [ "$i" = "$j" ] && continue
    arguments+=(--peer "${names[$j]}=${domains[$j]}@$(peer_of "$j")")
    [ "${domains[$i]}" = "${domains[$j]}" ] || [ $((j % 2)) = 1 ] || arguments+=(--link-delay "${domains[$j]}=4")
  done
  "$daemon" "${arguments[@]}" 2>>"$out/${names[$i]}.log" &
  entry_pid[$i]=$!
  pids+=("$!")
}
for i in 0 1 2 3 4 5; do start_entry "$i"; done
sleep 2
export MANGOROAD_ENTRY="$(http_of 0),$(http_of 1),$(http_of 2)"
records=()
for i in 0 1 2 3 4 5; do
  id="${domains[$i]}-t$((i % 2))"
  records+=("$out/$id.jsonl")
  other=$((i % 2 == 0 ? i + 1 : i - 1))
  "$standin" --id "$id" --listen "127.0.0.1:$((18300 + i))" --entry "$(http_of "$i")" --entry "$(http_of "$other")" \
    --failure-domain "${domains[$i]}" --rack "rack-$i" --service-time exponential:10 --leave-time-s 3 \
    --record "$out/$id.jsonl" --seed "$i" 2>"$out/$id.log" &
  pids+=("$!")
done
cat >"$out/table.csv" <<'CSV'
row,class,team,weight,place,limit_inflight,limit_rate,deadline_ms,retries,idempotent,quota_processors,urgent,hold_s
push,service,classrooms,100,any,0,0,2000,1,no,0,yes,0
view,service,classrooms,50,any,0,0,2000,2,yes,0,no,0
CSV
"$ctl" table apply "$out/table.csv" --author experiment --reason "fault experiment" >/dev/null
sleep 6

echo "load: $rate requests a second for $length s over 6 entry VMs"
entries=()
for i in 0 1 2 3 4 5; do entries+=(--entry "$(http_of "$i")"); done
"$load" run "${entries[@]}" --duration-s "$length" --row "push=$((rate / 2)),keyed,once" --row "view=$((rate / 2))" --resends 2 --seed 7 \
  --history "$out/history.jsonl" >"$out/load.txt" 2>&1 &
load_pid=$!
sleep 4
echo "fault: kill -9 ${names[1]}"
kill -9 "${entry_pid[1]}"
sleep 3
echo "fault: ${names[3]} is paused for 5 s"
kill -STOP "${entry_pid[3]}"
sleep 5
kill -CONT "${entry_pid[3]}"
echo "repair: ${names[1]} is started again"
start_entry 1
sleep 3
leader=$("$ctl" status --json | sed -nE 's/.*"leader": *"([^"]*)".*/\1/p' | head -n 1)
for i in 0 2 4; do
  if [ "${names[$i]}" = "$leader" ]; then
    echo "fault: kill -9 $leader, the leader"
    kill -9 "${entry_pid[$i]}"
  fi
done
wait "$load_pid" || true
cat "$out/load.txt"
sleep 3
"$load" check "$out/history.jsonl" "${records[@]}"
