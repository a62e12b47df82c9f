#!/usr/bin/env bash
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
export RECORD=$CASE/record.txt # what was sent, answered and run
: >"$RECORD" || exit 2
source "$CASE/../common.sh"
start_deployment d1,dedicate,north-a,4 s1,songfind,north-a,4 d2,dedicate,east-a,4 \
  s2,songfind,east-a,4 d3,dedicate,west-a,4 s3,songfind,west-a,4
config 00000007 "$(route submit non_idempotent /d/ dedicate 2500ms)" >"$FOLDER/config-7"
configure "$FOLDER/config-7"
clients c region=north zone=north-a method=POST path=/d/work-50/ clients=6 gap=200 \
  stagger=30 for=12000 deadline=2500 body=1200
sleep 2
refused=
if [ "$TROUBLE" != 0 ]; then
  config -0000001 "$(route submit non_idempotent /d/ dedicate 2500ms)" >"$FOLDER/config-bad"
  refused=$(order_status POST /Config.Put "$FOLDER/config-bad")
  note "the invalid configuration with version -0000001 was answered with $refused"
fi
sleep 1
# A valid change: the requests go to another service.
config 00000008 "$(route submit non_idempotent /d/ songfind 2500ms)" >"$FOLDER/config-8"
order_until_accepted POST /Config.Put "$FOLDER/config-8" || give_up "version 8 was not acknowledged"
note "version 00000008 is acknowledged"
sleep 6
for i in 1 2 3; do AT=$i order GET /Config.Get >"$FOLDER/read-$i"; done
wait_clients c
read_version=$(grep -oh '"version":"[^"]*"' "$FOLDER"/read-[123] | sort -u | tr '\n' ' ')
note "read back: $read_version"
old=$(awk '/version 00000008 is acknowledged/ { at = $1 }
     at && $2 == "send" && $1 > at + 2500 { late[$3] = 1 }
     $2 == "run" && $3 ~ /^d/ && late[$4] { n++ }
     END { print n + 0 }' "$RECORD")
text="the invalid configuration was answered with ${refused:-nothing}; read back after the acknowledgement of 00000008: ${read_version:-nothing}; $old requests sent later than 2.5 s after it ran at the old service"
broken=0
case $refused in 2*) broken=1 ;; esac
[ "$old" -gt 0 ] && broken=1
[ "$read_version" = '"version":"00000008" ' ] || broken=1
verdict $broken "$text"
