# What callers and backend servers saw of a planned stop.  Source it.

# stop_check TOLD RUNS STOP_MSEC END_MSEC: TOLD has the lines of fake-stop-caller, RUNS
# those of fake-platform; the stop came STOP_MSEC after the caller's start, and the process
# took requests until END_MSEC.  Each request that was run, and each that was sent in that
# time, has a whole answer; none that was told not run was; none ran twice; and what was
# taken during the stop was not broken off.
stop_check() {
  awk -v stop="$3" -v end="$4" '
    FILENAME ~ /runs$/ { runs[$1]++; next }
    { n[$3]++; at[$1] = $2; told[$1] = $3; whole[$1] = $4 }
    END {
      for (id in told) {
        if (!whole[id] && (runs[id] || at[id] < end)) { print "cut without an answer: " id " " told[id] " at " at[id]; bad = 1 }
        if (told[id] ~ /^(408|421|429|503)$/ && runs[id]) { print "told not run, but it ran: " id; bad = 1 }
        if (told[id] == 200 && runs[id] != 1) { print "answered, but did not run once: " id; bad = 1 }
        if (runs[id] > 1) { print "ran " runs[id] " times: " id; bad = 1 }
        if ((told[id] == 502 || told[id] == 504) && at[id] > stop) { print "taken, then broken off: " id " " told[id] " at " at[id]; bad = 1 }
      }
      printf "%d answered, %d not run, %d unknown, %d without an answer\n", n[200], n[503], n[502] + n[504], n["000"]
      exit bad
    }' "$2" "$1"
}
