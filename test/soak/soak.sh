#!/usr/bin/env bash
# soak.sh BUILD SOURCE [SEED [SECONDS]]: routers and directors under faults from
# outside, drawn from SEED, in series and overlapping; callers go on meanwhile, on
# connections that they keep.
#
# Faults: processes are killed, paused, stopped and started, one or all; folders
# are wiped; a relay before the backend servers and one before the routers resets,
# delays, silences or swallows one way; disks are slow or full; times of day jump;
# settings change, with a signal and without; routers lose their links to all backend servers,
# one, two or all, by resets or in silence; backend servers drain, leave or want
# a rest; old configurations are delivered again.  One backend server frames its
# responses in every way, and cuts and resets them; it runs requests and answers with a
# status that says they have not run, without the field that states it, or with the field
# and another status, or with a status that is none.  It writes refusals once more, later, on the same
# connection, and callers come back with the ids of refused requests.
#
# Checked while it runs and after it, from what callers and backend servers see:
#   - a request that may run once ran at most once, and once where it has an answer;
#   - an answer is the answer to its own request; one with a length has its whole body;
#   - a request that was told "not run" (408, 421, 429 or 503) did not run, nor did any of its
#     tries that were told so, and no log has a line of one that may have run;
#   - no caller is told a status that is none;
#   - a draining backend server gets nothing new after 3 s, nor one that told the
#     router that it leaves; one that asked the router for a rest gets at most two
#     requests until its end;
#   - no director tells a configuration older than one that was acknowledged, nor
#     a router follows one;
#   - when the faults end, every router serves the newest configuration;
#   - answers come in the order of the requests of a connection, also where these are sent
#     at once;
#   - each run is for the account of its key, and bears no key; of an account with a quota
#     no more requests run than that allows, over all routers.
#
# With SOAK_STOPS=1 the faults are planned stops alone: of one router after the other,
# with a grace of 0.8 to 5 s, half of them paused for most of it, while requests of all kinds go there
# at every moment (fake-stop-caller). Checked besides: none that was taken is cut without
# an answer, and the router has ended when the grace is over.
#
# It ends only processes that it started.  On a failure it names the seed and
# keeps the logs in SOAK_KEEP.
set -euo pipefail
BUILD=$1
SOURCE=$2
SEED=${3:-1}
SPAN=${4:-15}
source "$SOURCE/test/functional/fleet.sh"
source "$SOURCE/test/functional/stop_check.sh"
RANDOM=$SEED
VERSION=1
ACKED=0
CALLERS=()
GRACE_MSEC=(0 2000 2000 2000) # of the routers
PREFIX=/x/
[ -z "${SOAK_STOPS:-}" ] || PREFIX=/
SHIM=$BUILD/test/libfault-shim.so
[ -e "$SHIM" ] || SHIM=
RELAY_OFFSET=50
RAW_PORT=2 # of the backend servers; it is neither drained, nor leaves or rests
QUOTA_RATE=10 # of one account, a second; the callers ask for more
QUOTA_WINDOW_MSEC=5000
# A process may be late by this much beside a busy machine, ms.
DRAIN_SLACK=${SOAK_DRAIN_SLACK:-1500}

# Keep what a failed run left.
soak_fail() {
  [ -z "${SOAK_KEEP:-}" ] || cp -r "$FOLDER" "$SOAK_KEEP/soak-$SEED"
  echo "seed $SEED: $*" >&2
  exit 1
}

fail() { soak_fail "$@"; }

between() { echo $(($1 + RANDOM % ($2 - $1 + 1))); }

# soak_config VERSION: requests that may run once, others that may run again, four accounts.
soak_config() {
  local rest='"timeout":"2s","target_latency":"300ms","priority":1,"service":"search","sticky":true,"home_regions":[]'
  [ -z "${SOAK_STOPS:-}" ] || { config "$1" non_idempotent "$PREFIX"; return; }
  cat <<JSON
{"version":"$1","routes":{
"x":{"host":"a.example","path_prefix":"/x/","route_kind":"non_idempotent","attempts":2,$rest},
"q":{"host":"a.example","path_prefix":"/q/","route_kind":"non_idempotent","attempts":1,$rest},
"p":{"host":"a.example","path_prefix":"/p/","route_kind":"idempotent","attempts":2,$rest}},
"services":{"search":{"health_path":"/health","max_conns":300,"cold_start":"3s","cold_per_s":5}},"limits":{},
"tenants":{"soak-0":{"api_keys":["soak-key-0"],"rate_per_s":$QUOTA_RATE,"burst":$QUOTA_RATE},
"soak-1":{"api_keys":["soak-key-1"]},"soak-2":{"api_keys":["soak-key-2"]},"soak-3":{"api_keys":["soak-key-3"]}}}
JSON
}

put() { # VERSION: true where it was acknowledged
  AT=$(between 1 3)
  [ "$(order POST /Config.Put "$(soak_config "$(printf %08x "$1")")" || true)" = 200 ]
}

put_next() {
  VERSION=$((VERSION + 1))
  if put $VERSION; then ACKED=$VERSION; fi
}

# No director tells an older version than the last one acknowledged before it was asked.
check_read() {
  local told acked=$ACKED
  AT=$(between 1 3)
  [ "$(order GET /Config.Get || true)" = 200 ] || return 0
  told=$((16#$(sed -nE 's/.*"version":"([0-9a-f]+)".*/\1/p' "$FOLDER/body" | head -1)))
  [ $told -ge $acked ] || soak_fail "director $AT told version $told after $acked was acknowledged"
}

thaw_later() { (sleep "$1"; kill -CONT "$2" 2>/dev/null || true) & }

# for_a_while SECONDS FILE WORDS...: the fault stands in FILE meanwhile.
for_a_while() {
  local span=$1 file=$2
  shift 2
  echo "$*" >"$file"
  (sleep "$span"; echo pass >"$file") &
}

drain() {
  local backend=${DOMAINS[$1]}-0
  grep -q "^$backend " "$FOLDER/drained" || echo "$backend $(date +%s%3N)" >>"$FOLDER/drained"
  cut -d' ' -f1 "$FOLDER/drained" >"$FOLDER/draining.new"
  mv "$FOLDER/draining.new" "$FOLDER/draining"
}

# All at once, right after configurations were acknowledged: on a slow disk the
# second one is not written while the first one is being synced.
kill_all() {
  local name
  put_next
  put_next
  for name in director-{1,2,3} router-{1,2,3}; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
  for i in 1 2 3; do
    kill_one KILL "director-$i"
    kill_one KILL "router-$i"
    rm -f "$FOLDER/fault-director-$i"
    start_vm director "$i"
    start_vm router "$i"
  done
}

# The folder of one director, while all others have theirs.
wipe() {
  local i
  for i in 1 2 3; do
    [ "$(AT=$i order GET /Config.Get || true)" = 200 ] || return 0
    grep -q 'full' "$FOLDER/fault-director-$i" 2>/dev/null && return 0
  done
  kill_one KILL "director-$1"
  rm -rf "$FOLDER/data-$1"
  mkdir "$FOLDER/data-$1"
  start_vm director "$1"
  sleep 4
}

now_msec() { date +%s%3N; }

# A planned stop of a router; requests go to it at every moment.
planned_stop() {
  local victim=$1 grace=${GRACE_MSEC[$1]} callers began ended until pid=${PIDS[router-$1]}
  local told=$FOLDER/stop-$SECONDS-$victim
  "$BUILD/test/fake-stop-caller" "$(router_address "$victim"):$REQUESTS_PORT" $((grace + 700)) 100 \
    "stop-$SECONDS" >"$told" &
  callers=$!
  sleep "0.$(between 2 6)"
  began=$(now_msec)
  kill -TERM "$pid"
  until=$((grace * 85 / 100 < grace - 600 ? grace * 85 / 100 : grace - 600))
  if [ "$(between 1 2)" = 1 ]; then
    sleep 0.1
    kill -STOP "$pid"
    sleep "$(awk -v m="$(between $((grace - 650)) $((grace - 500)))" 'BEGIN { print m / 1000 }')"
    kill -CONT "$pid"
    until=0
  fi
  wait "$pid" || soak_fail "router $victim did not stop cleanly"
  ended=$(now_msec)
  [ $((ended - began)) -lt $grace ] || soak_fail "router $victim took $((ended - began)) of $grace ms to stop"
  wait $callers
  stop_check "$told" "$FOLDER/runs" 1000000 "$((until + 200))" ||
    soak_fail "a planned stop of router $victim, grace $grace ms"
  GRACE_MSEC[victim]=$(between 800 5000)
  GRACE=${GRACE_MSEC[victim]}ms start_vm router "$victim"
  wait_for 15 ready "$victim"
}

fault() {
  local victim
  victim=$(between 1 3)
  if [ -n "${SOAK_STOPS:-}" ]; then
    planned_stop "$victim"
    return
  fi
  FIRST_START=false
  case $(between 1 20) in
    1) kill_one KILL "director-$victim"; start_vm director "$victim" ;;
    2) kill_one KILL "router-$victim"; start_vm router "$victim" ;;
    3) kill -STOP "${PIDS[director-$victim]}"; thaw_later 1.5 "${PIDS[director-$victim]}" ;;
    4) kill -STOP "${PIDS[router-$victim]}"; thaw_later 1 "${PIDS[router-$victim]}" ;;
    5) kill -CONT "${PIDS[router-$victim]}"; kill -TERM "${PIDS[router-$victim]}"
       wait "${PIDS[router-$victim]}" || soak_fail "router $victim did not stop cleanly"
       start_vm router "$victim" ;;
    6) wipe "$victim" ;;
    7) kill -HUP "${PIDS[router-$victim]}" "${PIDS[director-$victim]}" ;;
    8) drain $((victim - 1)) ;;
    9) for_a_while 0.5 "$FOLDER/relay-backends" cut ;;
    10) for_a_while 1 "$FOLDER/relay-backends" drop-from ;;
    11) for_a_while 2 "$FOLDER/relay-$([ "$victim" = 1 ] && echo callers || echo backends)" delay "$(between 5 200)" ;;
    12) echo "silence $RANDOM" >"$FOLDER/relay-$([ "$victim" = 1 ] && echo callers || echo backends)" ;;
    13) for_a_while 1 "$FOLDER/relay-callers" "$([ "$victim" = 1 ] && echo cut || echo drop-to)" ;;
    14) for_a_while 2 "$FOLDER/fault-director-$victim" slow "$(between 50 400)" ;;
    15) for_a_while 1.5 "$FOLDER/fault-director-$victim" full ;;
    16) [ "$victim" = 1 ] && echo stepped >"$FOLDER/stepped-router-$victim"
        for_a_while 3 "$FOLDER/fault-$([ "$victim" = 1 ] && echo router || echo director)-$victim" step "$(($(between 0 1) * 10000 - 5000))" ;;
    17) for i in 1 2 3; do for_a_while 2 "$FOLDER/fault-director-$i" slow 300; done
        kill_all ;;
    18) LOOKUP_AGE=$(between 2 5)s write_settings "$([ "$victim" = 1 ] && echo router || echo director)" "$victim"
        put 1 || true ;; # older than all
    19) echo "${DOMAINS[2]}-1" >"$FOLDER/leaving" ;;
    20) echo "${DOMAINS[1]}-1" >"$FOLDER/resting"
        (sleep 1.5; rm -f "$FOLDER/resting") & ;;
  esac
}

# Routers lose their links to the backend servers for a while.  Drawn apart from the other faults,
# which each seed plays as before.
CUT_DRAW=$SEED
cut_off() {
  local how i
  CUT_DRAW=$(((CUT_DRAW * 1103515245 + 12345) % 2147483648))
  [ $((CUT_DRAW / 65536 % 6)) = 0 ] && [ ! -e "$FOLDER/cuts" ] || return 0
  how=$([ $((CUT_DRAW / 1024 % 2)) = 0 ] && echo lose || echo mute)
  for i in $(seq $((CUT_DRAW / 4096 % 3 + 1))); do echo "$how $(router_address $i)"; done >"$FOLDER/cuts.new"
  mv "$FOLDER/cuts.new" "$FOLDER/cuts"
  (sleep 3; rm -f "$FOLDER/cuts") &
}

touch "$FOLDER/drained"
echo pass | tee "$FOLDER/relay-backends" >"$FOLDER/relay-callers"
start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" $RELAY_OFFSET "${DOMAINS[@]}"
start_raw raw $RAW_PORT 1
ROUTES=()
for port in 1 2 3 4 5 6; do
  to=$((port == RAW_PORT ? port + RAW_OFFSET : port))
  ROUTES+=(--route "${LIST%:*}:$((${LIST#*:} + port + RELAY_OFFSET)),${LIST%:*}:$((${LIST#*:} + to))")
done
start relay-backends "$BUILD/test/fake-relay" --control "$FOLDER/relay-backends" --cuts "$FOLDER/cuts" "${ROUTES[@]}"
ROUTES=()
for i in 1 2 3; do ROUTES+=(--route "$NET.3.$i:$REQUESTS_PORT,$(router_address $i):$REQUESTS_PORT"); done
start relay-callers "$BUILD/test/fake-relay" --control "$FOLDER/relay-callers" "${ROUTES[@]}"
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done
first_put() { put_next; [ $ACKED -gt 0 ]; }
wait_for 20 first_put
for i in 1 2 3; do wait_for 15 ready $i; done
for n in $(seq "${SOAK_CALLERS:-8}"); do
  "$BUILD/test/fake-caller" --again 20 $((SEED * 100 + n)) "$FOLDER/enough" \
    "$NET.$((2 + n % 2))".{1,2,3}:$REQUESTS_PORT >"$FOLDER/told-$n" 2>>"$FOLDER/callers.log" &
  CALLERS+=($!)
  PIDS[caller-$n]=$!
done

END=$((SECONDS + SPAN))
while [ $SECONDS -lt $END ]; do
  fault
  [ -n "${SOAK_STOPS:-}" ] || cut_off
  put_next
  check_read
  sleep "0.$(between 1 9)"
done

# All is calm: the newest configuration is served by every router.
sleep 3
rm -f "$FOLDER"/fault-* "$FOLDER/cuts"
echo pass | tee "$FOLDER/relay-backends" >"$FOLDER/relay-callers"
accepted() { put_next; [ $ACKED = $VERSION ]; }
wait_for 20 accepted
newest() { [ "$(AT=$1 order GET /Config.Get)" = 200 ] && grep -q "\"version\":\"$(printf %08x $ACKED)\"" "$FOLDER/body"; }
in_force() { grep -q "event=config_in_force version=$ACKED " "$FOLDER/router-$1.log"; }
for i in 1 2 3; do wait_for 15 newest $i; wait_for 15 in_force $i; wait_for 15 ready $i; done
touch "$FOLDER/enough"
wait "${CALLERS[@]}"

# A router that goes back, without a start in between.
for i in 1 2 3; do
  awk '/event=started/ { version = 0 }
    match($0, /event=config_in_force version=[0-9]+/) {
      v = substr($0, RSTART + 30, RLENGTH - 30) + 0
      if (v < version) { print "went back from version " version " to " v; exit 1 }
      version = v
    }' "$FOLDER/router-$i.log" || soak_fail "router $i went back"
done

# What backend servers say of themselves, and where a router sends after it; the
# times of a router whose clock was stepped don't tell.
for i in 1 2 3; do
  grep -q '' "$FOLDER/stepped-router-$i" 2>/dev/null && continue
  awk -v slack="$DRAIN_SLACK" '
    function field(name, found) {
      found = match($0, " " name "=[^ ]*") ? substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) : ""
      return found
    }
    { split(substr($1, 17), t, /[:Z]/); now = 1000 * (3600 * t[1] + 60 * t[2] + t[3]) }
    /event=started/ { delete leaving; delete rest; delete until }
    /event=backend_leaving/ { leaving[field("backend")] = now }
    /event=backend_resting/ { b = field("backend"); rest[b] = now; until[b] = now + field("rest_ms"); n[b] = 0 }
    /event=request_sent/ {
      b = field("backend")
      if (b in leaving && now > leaving[b] + 3000 + slack) { print "sent to " b " after it said that it leaves: " field("id"); bad = 1 }
      if (b in rest && now > rest[b] + 500 && now < until[b] && ++n[b] > 2) { print "sent to " b " during its rest: " field("id"); bad = 1 }
    }
    END { exit bad }' "$FOLDER/router-$i.log" || soak_fail "router $i did not keep to what a backend server said"
done

# Accounts: their names, their keys, and the quota in each window.
if [ -z "${SOAK_STOPS:-}" ]; then
  awk -v rate=$QUOTA_RATE -v window=$QUOTA_WINDOW_MSEC '
    { split($1, id, /[gs-]/) }
    $4 != "no-key" { print "a key reached a backend server: " $0; bad = 1 }
    $2 != "soak-" id[2] % 4 { print "ran for another account: " $0; bad = 1 }
    $2 == "soak-0" { at[n++] = $3 }
    END {
      allowed = (rate * window / 1000 + rate) * 1.1 + 20
      for (i = 0; i < n; i++) {
        while (at[i] - at[first] >= window) first++
        if (i - first + 1 > allowed) { print "over the quota: " i - first + 1 " of " allowed; bad = 1; exit bad }
      }
      exit bad
    }' "$FOLDER/accounts" || soak_fail 'an account was not kept apart, or ran too much'
  ! grep -q 'soak-key' "$FOLDER"/router-*.log "$FOLDER"/director-*.log || soak_fail 'a log holds a key'
fi

cat "$FOLDER"/told-* >"$FOLDER/told"
awk -v seed="$SEED" -v slack="$DRAIN_SLACK" '
  FILENAME ~ /drained$/ { leaves[$1] = $2 + 3000 + slack; next }
  FILENAME ~ /runs$/ {
    runs[$1]++
    if ($2 in leaves && $3 > leaves[$2]) { print "sent to " $2 " after it drained: " $1; bad = 1 }
    next
  }
  {
    told[$1] = $2; n[$2]++
    if (($2 + 0 < 200 || $2 + 0 > 599) && ($2 != "000" || $3 != "-")) { print "told a status that is none: " $0; bad = 1 }
    if ($2 == 200 && $3 != $1) { print "answer of " $3 " for " $1; bad = 1 }
    if ($2 == 200 && $4 == "part") { print "a part told as whole: " $1; bad = 1 }
    ended[$4] += $2 == 200
  }
  END {
    for (id in runs) if (runs[id] > 1 && id !~ /^g/) { print "ran " runs[id] " times: " id; bad = 1 }
    for (id in told) {
      if (told[id] ~ /^(408|421|429|503)$/ && runs[id]) { print "told not run, but it ran: " id " " told[id]; bad = 1 }
      if (told[id] == 200 && (id ~ /^g/ ? runs[id] < 1 : runs[id] != 1)) { print "answered, but did not run once: " id; bad = 1 }
    }
    printf "seed %s: %d answered (%d not certain), %d beyond a quota, %d not run, %d unknown, %d without an answer\n", seed, n[200], ended["unsure"], n[429], n[503], n[502] + n[504], n["000"]
    if (n[200] < 100) { print "too few were answered"; bad = 1 }
    if (!ended["unsure"]) { print "no answer ended with its connection"; bad = 1 }
    exit bad
  }' "$FOLDER/drained" "$FOLDER/runs" "$FOLDER/told" || soak_fail "the runs and what callers were told do not agree"
awk -v name="seed $SEED" -f "$SOURCE/test/functional/check_tries.awk" "$FOLDER/runs" "$FOLDER/told" ||
  soak_fail 'a try was told as not run, and ran'
! grep -h 'event=request_ended .* status=\(408\|421\|429\|503\) may_have_run=1' "$FOLDER"/router-*.log ||
  soak_fail 'a request that may have run ended with a promise'
echo "seed $SEED: $(cat "$FOLDER"/router-*.log | grep -c 'event=id_sent_again' || true) times an id met a connection that had carried it"
echo "seed $SEED: $(cat "$FOLDER"/router-*.log | grep -c 'event=request_carried' || true) times a request was sent to another router"
