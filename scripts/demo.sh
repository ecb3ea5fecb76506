#!/usr/bin/env bash
# Installs, builds, starts three failure domains on loopback and shows the main path in under a minute after the build.
# Exits with 1 when a step did not do what it printed. DEMO_BUILD=0 uses the programs as they are.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${DEMO_BUILD:-1}" = 1 ]; then
  scripts/install-dependencies.sh
  cmake --preset release >/dev/null
  cmake --build --preset release --target mangoroadd mangoctl standin_target
fi
daemon=build/release/src/app/mangoroadd/mangoroadd
ctl=build/release/src/tools/mangoctl/mangoctl
standin=build/release/tests/standins/standin_target/standin_target

work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for _ in $(seq 50); do
    alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "demo: FAILED: $*" >&2
  tail -n 20 "$work"/*.log >&2 || true
  exit 1
}
say() { printf '\n== %s\n' "$*"; }
# wait_for SECONDS COMMAND...: runs the command until it succeeds.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "timed out: $*"
    sleep 0.1
  done
}

domains=(kochi thrissur kozhikode)
http_of() { echo "127.0.0.1:$((17100 + $1))"; }
peer_of() { echo "127.0.0.1:$((17200 + $1))"; }

say "Three entry VMs, one in each failure domain, with 4 ms between the failure domains"
(umask 077; printf 'demo %s\n' "$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')" >"$work/keys")
declare -A entry_pid
for i in 0 1 2; do
  arguments=(--name "${domains[$i]}-1" --failure-domain "${domains[$i]}" --region kerala
    --http-listen "$(http_of "$i")" --peer-listen "$(peer_of "$i")"
    --data-dir "$work/${domains[$i]}" --key-file "$work/keys")
  for j in 0 1 2; do
    arguments+=(--voter "${domains[$j]}-1")
    [ "$i" = "$j" ] || arguments+=(--peer "${domains[$j]}-1=${domains[$j]}@$(peer_of "$j")" --link-delay "${domains[$j]}=4")
  done
  "$daemon" "${arguments[@]}" 2>"$work/${domains[$i]}-1.log" &
  entry_pid[$i]=$!
  pids+=("$!")
done
for i in 0 1 2; do wait_for 10 curl -sf "http://$(http_of "$i")/healthz"; done
export MANGOROAD_ENTRY="$(http_of 0),$(http_of 1),$(http_of 2)"
has_leader() { "$ctl" status --json | grep -q '"has_quorum": *true'; }
wait_for 10 has_leader
echo "a leader is elected"

say "Six targets announce themselves, two in each failure domain"
declare -A target_pid
for i in 0 1 2; do
  for n in 1 2; do
    id="${domains[$i]}-t$n"
    "$standin" --id "$id" --listen "127.0.0.1:$((17300 + 10 * i + n))" --entry "$(http_of "$i")" \
      --failure-domain "${domains[$i]}" --rack "rack-$n" --service-time constant:5 --leave-time-s 3 \
      --record "$work/$id.jsonl" 2>"$work/$id.log" &
    target_pid[$id]=$!
    pids+=("$!")
  done
done
targets_owned() { [ "$(curl -s "http://$(http_of "$1")/v1/targets" | grep -o '"id"' | wc -l)" = 2 ]; }
for i in 0 1 2; do wait_for 10 targets_owned "$i"; done
echo "each entry VM owns the capacity of its two targets"

say "The table is checked, planned and applied"
cat >"$work/table.csv" <<'CSV'
row,class,team,weight,place,limit_inflight,limit_rate,deadline_ms,retries,idempotent,quota_processors,urgent,hold_s
slide-push,service,classrooms,100,any,0,0,2000,1,no,0,yes,0
bundle,batch,districts,10,any,0,0,0,2,yes,64,no,0
CSV
"$ctl" table check "$work/table.csv"
sed 's/,100,any/,100x,any/' "$work/table.csv" >"$work/bad.csv"
if "$ctl" table check "$work/bad.csv"; then fail "a faulty table passed the check"; fi
"$ctl" table apply "$work/table.csv" --reason "first table" --author demo
in_force() { "$ctl" table status --json | grep -q '"in_force_everywhere": *true' && ! "$ctl" table status --json | grep -q '"version": *0'; }
wait_for 3 in_force
echo "version 1 is in force on all entry VMs"

say "A live request is routed and answered in each failure domain"
for i in 0 1 2; do
  answer=$(curl -s -D "$work/headers" -X POST --data 'slide 1' "http://$(http_of "$i")/v1/call/slide-push/room/7")
  grep -qi '^Mangoroad-Outcome: ran' "$work/headers" || fail "request in ${domains[$i]}: $(cat "$work/headers") $answer"
  echo "${domains[$i]}: $(grep -i '^Mangoroad-Outcome' "$work/headers" | tr -d '\r')"
done
answer=$(curl -s "http://$(http_of 0)/v1/call/no-such-row/x")
grep -q '"outcome":"not-run"' <<<"$answer" || fail "unknown row: $answer"
echo "an unknown row is refused: $answer"

say "A keyed push is sent again to another failure domain and runs once"
push() { curl -s -D "$work/headers" -X POST -H 'Idempotency-Key: bell-0900' --data 'slide 2' "http://$(http_of "$1")/v1/call/slide-push/room/1"; }
push_ran() { push "$1" >/dev/null && grep -qi '^Mangoroad-Outcome: ran' "$work/headers"; }
wait_for 10 push_ran 0
first=$(push 0)
second=$(push 1)
[ "$first" = "$second" ] || fail "the key gave two answers: $first / $second"
runs=$(cat "$work"/*-t?.jsonl | grep '"request-start"' | grep -c 'bell-0900' || true)
[ "$runs" = 1 ] || fail "the keyed push ran $runs times"
echo "three sendings, one run, the same answer"

say "A batch job is submitted, leased, run and reported"
job=$("$ctl" job submit --row bundle --team districts --key bundle-1 --processors 2 --memory-mib 1024 'run_ms=500' --json |
  sed -nE 's/.*"id": *"([0-9]+)".*/\1/p' | head -n 1)
[ -n "$job" ] || fail "no job id"
again=$("$ctl" job submit --row bundle --team districts --key bundle-1 --processors 2 --memory-mib 1024 'run_ms=500' --json |
  sed -nE 's/.*"id": *"([0-9]+)".*/\1/p' | head -n 1)
[ "$job" = "$again" ] || fail "the same key gave job $again after job $job"
echo "job $job; the same key gives the same job"
"$ctl" job wait "$job" --timeout 30
"$ctl" job status "$job" --json | grep -q '"state": *"succeeded"' || fail "job $job did not succeed"

say "A target is drained: it gets nothing new, the others go on"
"$ctl" drain kochi-t1 --reason "maintenance" --author demo
sleep 2
before=$(grep -c . "$work/kochi-t1.jsonl" 2>/dev/null || true)
for _ in 1 2 3 4 5 6; do
  curl -sf -X POST --data x "http://$(http_of 0)/v1/call/slide-push/room/8" >/dev/null || fail "request while kochi-t1 drains"
done
after=$(grep -c . "$work/kochi-t1.jsonl" 2>/dev/null || true)
[ "$before" = "$after" ] || fail "the drained target got work"
echo "6 requests answered, none by kochi-t1"

say "A target leaves and an entry VM is stopped gracefully; requests go on"
kill -TERM "${target_pid[thrissur-t1]}"
wait "${target_pid[thrissur-t1]}" || fail "thrissur-t1 did not leave cleanly"
kill -TERM "${entry_pid[2]}"
wait "${entry_pid[2]}" || fail "kozhikode-1 did not stop cleanly"
wait_for 10 has_leader
for i in 0 1; do
  curl -sf -X POST --data x "http://$(http_of "$i")/v1/call/slide-push/room/9" >/dev/null || fail "request after the stop"
done
echo "kozhikode-1 stopped; the others have a leader and serve"

say "The audit trail has each change"
"$ctl" audit list
"$ctl" audit list --json | grep -q 'first table' || fail "the table change is not in the audit trail"

printf '\ndemo: all steps did what they printed\n'
