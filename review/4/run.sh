#!/usr/bin/env bash
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
export RECORD=$CASE/record.txt # what was sent, answered and run
: >"$RECORD" || exit 2
source "$CASE/../common.sh"
start_deployment d1,dedicate,north-a,4 d2,dedicate,north-a,4 d3,dedicate,north-a,4 \
  d4,dedicate,east-a,4 d5,dedicate,east-a,4 d6,dedicate,east-a,4 \
  d7,dedicate,west-a,4 d8,dedicate,west-a,4 d9,dedicate,west-a,4
config 00000001 "$(route submit non_idempotent /d/ dedicate 2500ms),$(route look idempotent /s/ dedicate 2500ms)" \
  >"$FOLDER/config-1"
configure "$FOLDER/config-1"
[ "$TROUBLE" != 0 ] && touch "$FOLDER/platform/crashes"
for zone in "${ZONES[@]}"; do
  clients "c-$zone" region="${zone%-*}" zone="$zone" method=POST path=/d/work-300/ \
    clients=6 gap=100 stagger=50 for=30000 deadline=2500 body=1200
done
sleep 2
# One request, with the same path and caller; the client sends it again each second.
clients crash region=north zone=north-a method=GET path=/s/crash/work-50/ clients=1 \
  gap=1000 for=26000 deadline=2500
wait_clients c-north-a c-east-a c-west-a crash
awk '$2 == "down" && ++n_down == 3 { at = $1 }
     at && $2 == "send" && $3 ~ /^crash-/ && $1 > at + 3000 { late[$3] = 1 }
     $2 == "run" && late[$4] { reached[$4] = 1; runs++ }
     $2 == "cut" && $4 !~ /^crash-/ { cut++ }
     END { for (id in reached) n++; print n + 0, runs + 0, n_down + 0, cut + 0 }' \
  "$RECORD" >"$FOLDER/counts"
read -r requests runs downs cut <"$FOLDER/counts"
verdict $((requests > 3)) "of the requests sent later than 3 s after the third crash, $requests reached endpoints ($runs runs); $downs crashes; $cut other requests that ran were cut off"
