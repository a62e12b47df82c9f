# Settings and a sheet of any size; sourced after test/functional/cluster.sh.
#
# scale_prepare VMS REGIONS DOMAINS BACKENDS: write FOLDER/ORG.yaml,
# FOLDER/sheet.csv and the keys.  Addresses lie in 127.NET.0.0/16; the first
# three VMs of different failure domains run control.

scale_settings() {
  awk -v vms="$1" -v regions="$2" -v domains="$3" -v net="$NET" -v interval="${PULL_INTERVAL_MS:-500}" 'BEGIN {
    print "organisation: consortium\nobjective: {latency: 0.7, headroom: 0.3}"
    print "domain_delay_us: 500\nclient_delay_us: 8000\nkey_file: keys/peer.key"
    print "data_folder: var\noperators_file: keys/operators"
    print "ports: {caller: 8080, entry_peer: 7070, entry_metrics: 9090, admin: 8081, control_peer: 7071, control_metrics: 9091}"
    print "limits: {pull_interval_ms: " interval "}"
    print "regions:"
    for (i = 0; i < regions; i++) printf "  - {name: region-%d, capacity: 4000}\n", i
    print "failure_domains:"
    for (i = 0; i < domains; i++) printf "  - {name: domain-%d, region: region-%d}\n", i, i % regions
    print "vms:"
    for (i = 0; i < vms; i++)
      printf "  - {name: vm-%d, failure_domain: domain-%d, address: 127.%d.%d.%d%s}\n", i, i % domains, net, int (i / 250), i % 250 + 1, i < 3 ? ", control: true" : ""
    print "services:"
    print "  - {name: songfind, class: search, weight: 3, slots: 3, connections: 330, deadline_ms: 800, answer_bytes: 8192}"
    print "links:"
    for (i = 0; i < regions; i++) for (j = 0; j < regions; j++) if (i != j)
      printf "  - {from: region-%d, to: region-%d, mbit_s: 4000, delay_us: 20000}\n", i, j
  }'
}

scale_sheet() {
  awk -v backends="$1" -v regions="$2" -v domains="$3" -v net="$NET" 'BEGIN {
    print "record,service,place,name,address,value"
    print "shift,,,number,,1\nshift,,,operator,,aiko.mori\nshift,,,currency,,JPY"
    print "shift,,,cost_cap,,900000000\nshift,,,expected_requests,,1000000"
    for (i = 0; i < regions; i++) printf "price,,region-%d,,,3\n", i
    part = int (100 / regions)
    for (i = 0; i < regions; i++)
      printf "traffic,songfind,region-%d,,,%d\n", i, part + (i == 0 ? 100 - part * regions : 0)
    for (i = 0; i < backends; i++)
      printf "backend,songfind,domain-%d,songfind-%d,127.%d.%d.%d:9000,serving\n", i % domains, i, net, 100 + int (i / 250), i % 250 + 1
  }'
}

scale_prepare() {
  mkdir -p "$FOLDER/keys" "$FOLDER/var"
  SETTINGS=$FOLDER/$ORG.yaml
  SHEET=$FOLDER/sheet.csv
  scale_settings "$1" "$2" "$3" >"$SETTINGS"
  scale_sheet "$4" "$2" "$3" >"$SHEET"
  (
    umask 077
    od -An -v -N32 -tx1 /dev/urandom | tr -d ' \n' >"$FOLDER/keys/peer.key"
  )
  cluster_operator aiko.mori
  CONTROL_VMS='vm-0 vm-1 vm-2'
}
