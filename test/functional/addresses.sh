# Loopback addresses of one run alone, so that several may go on at once.

# Set NET to the second byte of addresses 127.NET.x.y that nobody else uses: a
# locked file holds them until this process and those that it started are gone.
addresses_hold() {
  local n lock
  for n in $(seq 60 250); do
    exec {lock}>"${TMPDIR:-/tmp}/mulberry-addresses-$n.lock"
    if flock --nonblock "$lock"; then
      NET=$n
      return
    fi
    exec {lock}>&-
  done
  echo 'no free addresses' >&2
  exit 1
}
