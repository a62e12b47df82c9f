# Compare what ran with what callers were told: journals of the fake backend
# servers first, then the load tool's.  Fails on the first untrue word.

function value(key,    i) {
  for (i = 2; i <= NF; i++)
    if (index($i, key "=") == 1) return substr($i, length(key) + 2)
  return ""
}

$1 == "start" {
  caller = value("caller")
  runs[caller]++
  starts++
  if (value("method") != "GET" && runs[caller] > 1) {
    print "ran twice: " $0
    bad++
  }
}
$1 == "violation" { print; bad++ }
$1 == "told" {
  caller = value("caller")
  outcome = value("outcome")
  told[outcome]++
  if (outcome == "not-run" && runs[caller] > 0) {
    print "told not-run, but it ran: " $0
    bad++
  }
  if (outcome == "answer" && runs[caller] == 0) {
    print "answered, but it never ran: " $0
    bad++
  }
  if (outcome == "wrong") { print; bad++ }
}
END {
  printf "starts=%d answers=%d not_run=%d unknown=%d untrue=%d\n", starts,
    told["answer"], told["not-run"], told["unknown"], bad
  exit bad > 0 || told["answer"] == 0
}
