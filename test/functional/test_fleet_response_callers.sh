#!/usr/bin/env bash
# Guards against a part of a response that a caller of any kind takes for the whole one:
# HEAD, 204 and 304, errors without a length, large bodies read slowly, callers that send
# the next request at once, use HTTP/1.0 or close their connection.
set -euo pipefail
BUILD=$1
SOURCE=$2
source "$SOURCE/test/functional/response_ends.sh"
LARGE_BYTES=$((2 * 1024 * 1024))

# kinds NAME STATUS FRAMING [curl options]: ROUNDS responses NAME have this status, framing,
# and a body that is whole, or none where FRAMING is "none".
kinds() {
  local name=$1 status=$2 framing=$3 body
  shift 3
  for ((round = 0; round < ROUNDS; round++)); do
    N=$((N + 1))
    ID=$name-$N
    ask "$name" "$ID" "$@"
    body=$IS_WHOLE
    if [ "$framing" = none ]; then
      FRAMING=none
      body=$([ -s "$FOLDER/answer" ] && echo 0 || echo 1)
    fi
    [ "$STATUS" = "$status" ] && [ "$FRAMING" = "$framing" ] && [ "$body" = 1 ] && [ "$ENDED" = 0 ] ||
      WRONG+="$ID $*: $STATUS $FRAMING, body $body, curl $ENDED"$'\n'
  done
}

for name in no-content no-content-length; do kinds $name 204 none; done
for name in not-modified not-modified-length; do kinds $name 304 none; done
kinds error-close 500 close
for name in length chunks; do
  kinds $name 200 length --http1.0
  kinds $name 200 length -H 'Connection: close'
done
kinds close 200 close --http1.0
kinds close 200 close -H 'Connection: close'

BODY_BYTES=$LARGE_BYTES ROUNDS=1
kinds large-close 200 close
kinds large-close 200 close --limit-rate 2M --max-time 10

# told NAME STATUS LENGTH [curl options]: callers are told the length of a body that is not
# sent as the backend server told it, "" for none.
told() {
  local name=$1 status=$2 length=$3 given
  shift 3
  N=$((N + 1))
  ask "$name" "told-$name-$N" "$@"
  given=$(sed -n 's/^Content-Length: //p' "$FOLDER/head.text")
  [ "$STATUS" = "$status" ] && [ "$ENDED" = 0 ] && [ "$given" = "$length" ] ||
    WRONG+="told-$name-$N $*: $STATUS, a length of '$given', curl $ENDED"$'\n'
}

told length 200 900 --head
told same-length-twice 200 900 --head
told length-letter 200 '' --head
told length-and-chunks 200 '' --head
told chunks 200 '' --head
told close 200 '' --head
told not-modified-length 304 900
told not-modified 304 ''
told no-content-length 204 ''

# piped METHOD NAME: two requests at once on one connection, METHOD for NAME and GET for
# length; what comes goes to FOLDER/piped.
piped() {
  N=$((N + 1))
  exec {caller}<>"/dev/tcp/$(router_address 1)/$REQUESTS_PORT"
  printf '%s /x/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: piped-%s-%s\r\nDeadline-Ms: 3000\r\n%s\r\n' \
    "$1" "$2" 1 $N '' GET length 2 $N $'Connection: close\r\n' >&"$caller"
  timeout 10 cat <&"$caller" >"$FOLDER/piped" || WRONG+="piped-$N: its connection does not end"$'\n'
  exec {caller}>&-
  sed '1,/^\r$/d' "$FOLDER/piped" >"$FOLDER/after-head"
}

# The first response ends with its connection: the caller gets just that one.
for ((round = 0; round < ROUNDS; round++)); do
  piped GET close
  BODY_BYTES=900 body_of "piped-1-$N" | cmp -s - "$FOLDER/after-head" ||
    WRONG+="piped-$N: $(wc -c <"$FOLDER/piped") bytes are not just the first response"$'\n'
done

# A request that comes while a large response is read, which ends with its connection: the
# response arrives whole.
HUGE_BYTES=$((12 * 1024 * 1024))
late_request() {
  N=$((N + 1))
  exec {caller}<>"/dev/tcp/$(router_address 1)/$REQUESTS_PORT"
  printf 'GET /x/huge-close HTTP/1.1\r\nHost: a.example\r\nRequest-Id: late-%s\r\nDeadline-Ms: 3000\r\n\r\n' $N >&"$caller"
  answered() { grep -q "event=request_ended id=late-$N " "$FOLDER/router-1.log"; }
  wait_for 10 answered
  printf 'GET /x/length HTTP/1.1\r\nHost: a.example\r\nRequest-Id: late-2-%s\r\nDeadline-Ms: 3000\r\n\r\n' $N >&"$caller"
  timeout 20 cat <&"$caller" >"$FOLDER/piped" 2>/dev/null || WRONG+="late-$N: its connection ends by an error"$'\n'
  exec {caller}>&-
  sed '1,/^\r$/d' "$FOLDER/piped" >"$FOLDER/after-head"
  [ "$(stat -c %s "$FOLDER/after-head")" = $HUGE_BYTES ] ||
    WRONG+="late-$N: $(stat -c %s "$FOLDER/after-head") of $HUGE_BYTES bytes"$'\n'
}
for ((round = 0; round < ROUNDS; round++)); do late_request; done

# The first response has no body: nothing comes between its head and the second one.
for what in 'HEAD length' 'HEAD chunks' 'HEAD close' 'GET no-content' 'GET not-modified' 'GET not-modified-length'; do
  piped $what
  [ ! -s "$FOLDER/after-head" ] || head -c 15 "$FOLDER/after-head" | grep -q '^HTTP/1.1 200 OK' ||
    WRONG+="piped-$N $what: bytes after a response without a body"$'\n'
done

check_all
echo "good: $N responses"
