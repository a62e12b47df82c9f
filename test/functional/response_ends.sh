# What callers are told of backend servers that frame and end their responses in
# every way.  Source it with BUILD and SOURCE set.

source "$SOURCE/test/functional/fleet.sh"
BACKENDS=6
ROUNDS=3
BODY_BYTES=900

start platform "$BUILD/test/fake-platform" "$LIST" "$FOLDER" $RAW_OFFSET "${DOMAINS[@]}"
start_raw raw 1 $BACKENDS
for i in 1 2 3; do mkdir "$FOLDER/data-$i"; start_vm director $i; start_vm router $i; done
wait_for 15 put "$(config 00000005 non_idempotent /x/)"
served() { [ "$(request "$1" /x/length "id-$RANDOM$RANDOM")" = 200 ]; }
for i in 1 2 3; do wait_for 10 served $i; done

# The body that belongs to the request with this id.
body_of() {
  awk -v id="$1" -v n=$BODY_BYTES 'BEGIN {
    for (i = 0; i < n; i++)
      printf "%s", i % 2 == 0 ? substr(id, int(i / 2) % length(id) + 1, 1) : sprintf("%c", 97 + i % 26)
  }'
}

# ask NAME ID [curl options]: ask for the response NAME; sets STATUS, ENDED (curl's exit code), FRAMING and IS_WHOLE.
ask() {
  local name=$1 id=$2
  shift 2
  ENDED=0
  STATUS=$(request $((N % 3 + 1)) "/x/$name" "$id" "$@" -D "$FOLDER/head" -H "Cookie: Affinity-Key=$((N % 7))") || ENDED=$?
  FRAMING=close
  tr -d '\r' <"$FOLDER/head" >"$FOLDER/head.text"
  if grep -qi '^Content-Length:' "$FOLDER/head.text"; then FRAMING=length; fi
  if grep -qi '^Transfer-Encoding:' "$FOLDER/head.text"; then FRAMING=chunks; fi
  IS_WHOLE=0
  if body_of "$id" | cmp -s - "$FOLDER/answer"; then IS_WHOLE=1; fi
}

N=0
WRONG=
# each CHECK NAME...: ask for each response ROUNDS times, and check it.
each() {
  local check=$1
  shift
  local name
  for name in "$@"; do
    for ((round = 0; round < ROUNDS; round++)); do
      N=$((N + 1))
      ID=$name-$N
      ask "$name" "$ID"
      $check
    done
  done
}

# Good responses arrive whole; one without a length ends as it did.
good() {
  [ "$STATUS" = 200 ] && [ "$IS_WHOLE" = 1 ] && [ "$ENDED" = 0 ] || WRONG+="$ID: $STATUS, whole $IS_WHOLE, curl $ENDED"$'\n'
}

# A part of a response is never told as a whole 200.
not_whole() {
  [ "$STATUS" != 200 ] || [ "$IS_WHOLE" = 1 ] || [ "$ENDED" != 0 ] || [ $FRAMING = close ] ||
    WRONG+="$ID: a part, told as whole by $FRAMING"$'\n'
}

# A response that is known not to be whole, or that can't be read, is not passed on.
# A request is told as not run only if it did not run.
failed() {
  [ "$STATUS" = 502 ] || { [ "$STATUS" = 503 ] && ! grep -q "^$ID " "$FOLDER/runs"; } ||
    WRONG+="$ID: $STATUS, not 502"$'\n'
}

# Nothing was wrong, and a non-idempotent request ran once at most.
check_all() {
  local twice
  [ -z "$WRONG" ] || fail "$(echo "$WRONG" | sed '/^$/d' | wc -l) of $N: $WRONG"
  twice=$(cut -d' ' -f1 "$FOLDER/runs" | sort | uniq -d | head)
  [ -z "$twice" ] || fail "ran twice: $twice"
}
