#!/bin/sh
# Runs gateways in separate processes against stand-ins, injects faults from outside and checks
# the guarantees by what callers and targets observe (platform/tests/soak).
#
#   scripts/soak.sh --seed N [--minutes M] [--hosts H] [--program FILE] [--beside FILE]
#
# The seed determines the schedule of faults; the output of the hosts is kept on failure. Another
# build of the gateway can be named; without one, that of the code at hand is built and run. With
# --beside, each host runs that build and the tested one in turn, so that both are always there
# (scripts/build-commit.sh builds the program of a commit; seeds below 63000 for those before
# answers without a stated end).
set -eu

seed=
seconds=60
hosts=3
program=
beside=
while [ $# -ge 2 ]; do
    case "$1" in
        --seed) seed=$2 ;;
        --minutes) seconds=$(($2 * 60)) ;;
        --hosts) hosts=$2 ;;
        --program) program=$2 ;;
        --beside) beside=$2 ;;
        *)
            echo "soak.sh: unknown argument $1; use --seed, --minutes, --hosts, --program or --beside" >&2
            exit 2
            ;;
    esac
    shift 2
done
if [ -z "$seed" ] || [ $# -ne 0 ]; then
    echo "soak.sh: give a seed: scripts/soak.sh --seed N [--minutes M] [--hosts H] [--program FILE] [--beside FILE]" >&2
    exit 2
fi

cd "$(dirname "$0")/.."
if [ -n "$program" ]; then
    export SOAK_PROGRAM="$program"
fi
if [ -n "$beside" ]; then
    export SOAK_OTHER_PROGRAM="$beside"
fi
SOAK_SEED=$seed SOAK_SECONDS=$seconds SOAK_HOSTS=$hosts \
    exec cargo test --quiet --locked -p lycheeford-site --test soak guarantees -- --nocapture
