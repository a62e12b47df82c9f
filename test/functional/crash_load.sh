# A request that ends the backend servers that run it, sent by many callers at once beside others.
# Source it after fleet.sh.

DOMAINS=(north-a north-b east-a north-c east-b east-c west-a west-b)
SETTLE_MSEC=3000
RETRIES_MAX=3
TIMEOUT=4s
DEADLINE_MSEC=4000
N_OTHERS=9
ENDS_MIN=3 # servers that have to end, or the round shows nothing
FAULTS=

# client NAME PATH GAP SECONDS: send PATH again GAP after each answer, at one router after the other;
# with PATIENCE set, it leaves after so many seconds.
client() {
  local n=0 end=$((SECONDS + $4)) id
  while [ $SECONDS -lt $end ]; do
    id=$1-$((n += 1))
    echo "$id $(curl -s -m "${PATIENCE:-5}" -o "$FOLDER/answer-$id" -w '%{http_code}' -H 'Host: a.example' \
      -H "Request-Id: $id" -H "Deadline-Ms: $DEADLINE_MSEC" \
      "http://$(router_address $(((n + ${1##*-}) % 3 + 1))):$REQUESTS_PORT$2" || true)" >>"$FOLDER/answers-$1"
    grep -sqx quarantined "$FOLDER/answer-$id" && echo "$id" >>"$FOLDER/refused-$1"
    rm -f "$FOLDER/answer-$id"
    sleep "$3"
  done
}

# try NAME CLIENTS GAP DELAY SECONDS: the request ends each of its servers after DELAY ms; with
# DELAY-504, each second one answers 504 then.  With LEAVES set, its clients leave after so many
# seconds.
try() {
  local name=$1 i clients=() crashes late
  for i in $(seq 1 "$2"); do PATIENCE=${LEAVES:-5} client "$name-crash-$i" "/x/$name/crash-$4" "$3" "$5" & clients+=($!); done
  # The same request of one caller, asked for all the time; it is often there when a server ends.
  for i in $(seq 1 $N_OTHERS); do client "$name-other-$i" "/x/$name/slow" 0.2 "$5" & clients+=($!); done
  # Callers of theirs who always leave before the answer.
  for i in ${LEAVES:+1 2 3}; do PATIENCE=0.2 client "$name-other-left-$i" "/x/$name/slow" 0.2 "$5" & clients+=($!); done
  wait "${clients[@]}"
  read -r crashes late < <(awk -v name="^$name-crash-" -v settle=$SETTLE_MSEC '
    FILENAME ~ /ends$/ { if ($1 ~ name && ++n == 3) third = $3; next }
    $1 ~ name && n >= 3 && $3 > third + settle && !seen[$1]++ { late++ }
    END { print n + 0, late + 0 }' "$FOLDER/ends" "$FOLDER/reached")
  echo "$name: ends=$crashes late=$late others:" \
    "$(cat "$FOLDER"/answers-"$name"-other-* | awk '{ n[$2]++ } END { for (s in n) printf " %s=%d", s, n[s] }')"
  cat "$FOLDER"/refused-"$name"-other-* 2>/dev/null >"$FOLDER/innocent-$name" || true
  FAULTS+=$([ "$crashes" -ge "$ENDS_MIN" ] || echo "$name: only $crashes servers ended; ")
  FAULTS+=$([ "$late" -le $RETRIES_MAX ] || echo "$name: $late sent later than $SETTLE_MSEC ms after the third end; ")
  FAULTS+=$([ ! -s "$FOLDER/innocent-$name" ] || echo "$name: $(wc -l <"$FOLDER/innocent-$name") requests refused that merely ran beside it; ")
  sleep 1.5 # until the servers are back
}
