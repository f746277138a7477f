#!/usr/bin/env bash
# Tests the command line: outputs and exit statuses. Usage: cli.sh MAGNOLIASPAN
set -uo pipefail

program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

# expect STATUS PATTERN ARGUMENTS...: runs the program; its output must match PATTERN and its exit status be STATUS.
expect() {
    local status=$1 pattern=$2
    shift 2
    local output
    output=$("$program" "$@" 2>&1)
    local found=$?
    if [ "$found" -ne "$status" ] || ! grep -qE -- "$pattern" <<<"$output"; then
        echo "FAILED: magnoliaspan $*: expected status $status and '$pattern', found status $found and:"
        echo "$output"
        failures=$((failures + 1))
    fi
}

cat >"$folder/trial.yaml" <<'DOCUMENT'
# The trial environment.
environment: trial
generation: 7
zones: [{name: north, region: r1}]
seats: [{name: n1, zone: north, peer: "127.0.0.1:7100"}]
systems:
  - {name: catalog, policy: coverage, soft_deadline: 1ms, hard_deadline: 1ms, slots: 1, connections: 1,
     shard_map_generation: 1, shards: [{shard: 0, targets: [t1]}]}
targets: [{name: t1, system: catalog, zone: north, address: "127.0.0.1:7200"}]
DOCUMENT
sed 's/generation: 7/generation: none/' "$folder/trial.yaml" >"$folder/bad.yaml"
printf 'seat: n1\nzone: north\n' >"$folder/settings.yaml"

expect 0 'magnoliaspan [0-9]+\.[0-9]+' version
expect 0 'usage: magnoliaspan COMMAND' help
expect 0 '`systems\[\]\.cold_concurrency`' help configuration
expect 0 "generation 7 of environment 'trial', digest [0-9a-f]{32}" check "$folder/trial.yaml"
expect 1 "bad.yaml:3: generation: 'none' is not an integer" check "$folder/bad.yaml"
expect 1 'settings.yaml:1: environment: required field is missing' check "$folder/settings.yaml"
expect 1 'missing.yaml:0: file: cannot be read' check "$folder/missing.yaml"
expect 0 '^trial_digest: [0-9a-f]{32}$' promote "$folder/trial.yaml"
expect 0 '^generation: 9$' promote --generation=9 "$folder/trial.yaml"
expect 1 "is 'trial' already" promote --environment=trial "$folder/trial.yaml"
expect 1 'settings.yaml:1: environment: required field is missing' serve "--settings=$folder/settings.yaml"
expect 1 'no answer from 127.0.0.1:19999' status --admin=127.0.0.1:19999
expect 1 'no answer from 127.0.0.1:19999' explain --admin=127.0.0.1:19999 q1
expect 2 "unknown command 'fly'" fly
expect 2 'a command is missing'
expect 2 'check takes one argument, got 0' check
expect 2 'version takes no argument, got 1' version now
expect 2 "--admin: expected IP:PORT, got 'nowhere'" status --admin=nowhere
expect 2 'serve needs --settings FILE' serve
expect 1 'unknown command line flag' version --colour=red

cat >"$folder/forward.yaml" <<'SETTINGS'
host: h1
zone: north
zones:
  - name: north
    region: r1
caller_address: 127.0.0.1:8226
ready_address: 127.0.0.1:8227
metrics_address: 127.0.0.1:7750
discovery_address: 127.0.0.1:8229
peer_address: 127.0.0.1:7741
seeds: "127.0.0.1:8224,127.0.0.2:8224"
peer_key: k
extra_send_ratio: 0.2
watch_time: 5000ms
SETTINGS
sed 's/^zone: north/zone: south/' "$folder/forward.yaml" >"$folder/elsewhere.yaml"
sed 's/127.0.0.2:8224/nowhere/' "$folder/forward.yaml" >"$folder/seeds.yaml"
sed 's/ratio: 0.2/ratio: lots/' "$folder/forward.yaml" >"$folder/lots.yaml"
expect 0 '' check "$folder/forward.yaml"
expect 1 "elsewhere.yaml:2: zone: 'south' is not among the zones" check "$folder/elsewhere.yaml"
expect 1 "seeds.yaml:11: seeds: must be IP:PORT" check "$folder/seeds.yaml"
expect 1 "lots.yaml:13: extra_send_ratio: 'lots'" forward "--settings=$folder/lots.yaml"
expect 2 'forward needs --settings FILE' forward

"$program" promote "$folder/trial.yaml" >"$folder/production.yaml"
expect 0 "generation 7 of environment 'production'" check "$folder/production.yaml"

exit "$failures"
