#!/usr/bin/env bash
# Runs one daemon in each of three halls, as separate processes, with one stand-in platform.
# Run it from a checkout after `make install`; it ends the processes that it starts. They listen on
# one loopback address: 127.0.0.1, or the first argument.
set -eu
bin=.venv/bin
[ -x $bin/ferrydock ] || bin=$(dirname "$(command -v ferrydock)")
address=${1:-127.0.0.1}
key=my-operator-key
digest=$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)
team_digest=$(printf '%s' my-team-key | sha256sum | cut -d' ' -f1)
platform=http://$address:7400
peers=$address:7170,$address:7171,$address:7172
started=""
trap 'kill $started' EXIT

$bin/python -m ferrydock.standins --listen=$address:7400 --halls=hall-a,hall-b,hall-c &
started="$started $!"
number=0
for hall in hall-a hall-b hall-c; do
  $bin/ferrydockd --hall=$hall --listen=$address:707$number --peer_listen=$address:717$number \
    --peers=$peers --store_urls=$platform --box_list_url=$platform \
    --weight_store_url=$platform --operator_key_digests="$digest" &
  started="$started $!"
  number=$((number + 1))
done
export FERRYDOCK_OPERATOR_KEY=$key
ferrydock="$bin/ferrydock --daemon=http://$address:7070"

# Repeats a command until it succeeds, for about a minute.
until_done() {
  for _ in $(seq 240); do
    "$@" && return
    sleep 0.25
  done
  "$@"
}

for hall in hall-a hall-b hall-c; do until_done $ferrydock table set halls $hall region=south; done
$ferrydock table set models draft weight_bytes=400000000
$ferrydock table set teams lanyu key_digests="$team_digest"
$ferrydock table set shares lanyu-draft team=lanyu model=draft
$ferrydock table watch --until_revision=6 --timeout_s=60
ask() {
  echo "The pump at the harbour is broken." |
    $bin/ferrydock --daemon=http://$address:7072 request draft --team_key=my-team-key
}
until_done ask
$ferrydock status
