# check_tries.awk RUNS TOLD: no try was told "not run" (408, 421, 429 or 503) and ran, then or later, and no
# request ran twice, but those with "g", which may.  A run is one of the last try that was sent before it.
# RUNS: "ID BACKEND MSEC" a run; TOLD: "ID STATUS ANSWER_ID BODY FROM TO" a try, the tries of a request in
# order; -v name: of the play, for messages.
FILENAME == ARGV[1] { at[$1, ++runs[$1]] = $3; next }
{
  n[$2]++
  again += tries[$1] > 0
  from[$1, ++tries[$1]] = $5
  told[$1, tries[$1]] = $2
}
END {
  for (id in runs) {
    if (runs[id] > 1 && id !~ /^g/) wrong[id " ran " runs[id] " times"]
    for (i = 1; i <= runs[id]; i++) {
      for (try = tries[id]; try > 0 && from[id, try] > at[id, i]; try--)
        ;
      if (try > 0 && told[id, try] ~ /^(408|421|429|503)$/) wrong[id " told " told[id, try] " in its try " try]
    }
  }
  for (what in wrong) if (++n_wrong <= 5) print name ": " what
  text = name ":"
  for (status in n) text = text " " n[status] " told " status ","
  print text " " again + 0 " tries again, " n_wrong + 0 " wrong"
  exit n_wrong > 0
}
