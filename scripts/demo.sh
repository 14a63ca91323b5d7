#!/bin/sh
# Builds and starts a whole fleet on loopback addresses: the stand-ins for the
# platform, the weight store, engines and services, and six daemons.
#
#   scripts/demo.sh                run until interrupted
#   scripts/demo.sh --once         send one request of each kind, then stop
#   scripts/demo.sh --northpass    at the size of the chart office
#   scripts/demo.sh --regulator    at the size of the regulator
#
# DEMO_NET=N moves every address to the network 127.N.0.0/16.
set -eu

deployment=small
profile=debug
daemons_max=
engine_options=
once=no
for argument in "$@"; do
    case "$argument" in
        --once) once=yes ;;
        --northpass) deployment=northpass ;;
        --regulator) deployment=regulator ;;
        *)
            echo "demo.sh: unknown argument $argument; use --once, --northpass or --regulator" >&2
            exit 2
            ;;
    esac
done

cd "$(dirname "$0")/.."
. scripts/fleet.sh
start_fleet

echo "curl -N http://$daemon/v1/completions -H 'authorization: Bearer $key'" \
    "-d '{\"model\":\"model-000\",\"prompt\":\"Is the lead still open?\",\"stream\":true}'"

if [ "$once" = yes ]; then
    "$bin/demo-caller" once --daemon "$daemon" --operator "$operator" --key "$key" \
        --model model-001 || fail "a request failed"
    exit 0
fi

# A signal such as SIGINT (Ctrl-C) ends the wait.
wait
