#!/bin/sh
# Measures a fleet of release builds on loopback addresses and prints a table;
# finishes in under two minutes after the build. docs/MEASUREMENTS.md
# explains the rows.
#
#   scripts/measure.sh               cost of requests and of idle daemons
#   scripts/measure.sh --control     only the cost of idle daemons
#   scripts/measure.sh --sizes       the cost of idle daemons as the configuration grows
#   scripts/measure.sh --daemons N   with N daemons instead of six
#   scripts/measure.sh --northpass   at the size of the chart office
#   scripts/measure.sh --regulator   at the size of the regulator
#
# DEMO_NET=N moves every address to the network 127.N.0.0/16.
set -eu

deployment=small
profile=release
daemons_max=
# Room for a thousand slow streams on one engine.
engine_options="--batch-max 2048 --token-interval-ms 250"
phases=requests
while [ $# -gt 0 ]; do
    case "$1" in
        --control) phases=control ;;
        --sizes) phases=sizes ;;
        --northpass) deployment=northpass ;;
        --regulator) deployment=regulator ;;
        --daemons)
            shift
            daemons_max=${1:?--daemons needs a number}
            ;;
        *)
            echo "measure.sh: unknown argument $1; its first lines list what there is" >&2
            exit 2
            ;;
    esac
    shift
done

cd "$(dirname "$0")/.."
. scripts/fleet.sh
start_fleet >&2

options=
for address in $addresses; do
    options="$options --caller $address"
done
for address in $operators; do
    options="$options --operator $address"
done
for pid in $daemons; do
    options="$options --pid $pid"
done
"$bin/measure" --phases "$phases" --platform "$platform" --key "$key" $options ||
    fail "not everything was measured"
