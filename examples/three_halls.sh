#!/usr/bin/env bash
# Three daemons of three halls as separate processes against one stand-in platform.
# Run from a checkout after `make install`; it ends everything it started.
set -eu
bin=.venv/bin
key=my-operator-key
digest=$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)
team_digest=$(printf '%s' my-team-key | sha256sum | cut -d' ' -f1)
platform=http://127.0.0.1:7400
peers=127.0.0.1:7170,127.0.0.1:7171,127.0.0.1:7172
started=""
trap 'kill $started' EXIT

$bin/python -m ferrydock.standins --listen=127.0.0.1:7400 --halls=hall-a,hall-b,hall-c &
started="$started $!"
number=0
for hall in hall-a hall-b hall-c; do
  $bin/ferrydockd --hall=$hall --listen=127.0.0.1:707$number --peer_listen=127.0.0.1:717$number \
    --peers=$peers --store_urls=$platform --box_list_url=$platform \
    --weight_store_url=$platform --operator_key_digests="$digest" &
  started="$started $!"
  number=$((number + 1))
done
sleep 4
export FERRYDOCK_OPERATOR_KEY=$key
ferrydock="$bin/ferrydock --daemon=http://127.0.0.1:7070"
for hall in hall-a hall-b hall-c; do $ferrydock table set halls $hall region=south; done
$ferrydock table set models draft weight_bytes=400000000
$ferrydock table set teams lanyu key_digests="$team_digest"
$ferrydock table set shares lanyu-draft team=lanyu model=draft
$ferrydock table watch --until_revision=6
sleep 5
$ferrydock status
echo "The pump at the harbour is broken." |
  $bin/ferrydock --daemon=http://127.0.0.1:7072 request draft --team_key=my-team-key
