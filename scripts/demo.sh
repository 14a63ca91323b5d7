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
cargo build --workspace --bins ${CARGO_FLAGS:-} >&2
bin=${CARGO_TARGET_DIR:-target}/debug
work=$(mktemp -d)
daemons=
stand_ins=

# Ends the processes whose ids are given and waits for them.
stop() {
    for pid in "$@"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "$@"; do
        wait "$pid" 2>/dev/null || true
    done
}

shut_down() {
    trap - EXIT INT TERM
    # The daemons drain while their targets still run.
    stop $daemons
    stop $stand_ins
    rm -rf "$work"
}

fail() {
    echo "demo.sh: $1" >&2
    tail -n 20 "$work"/*.log >&2 || true
    exit 1
}

trap shut_down EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

"$bin/demo-files" --deployment "$deployment" --net "${DEMO_NET:-0}" --out "$work"

while read -r role url program arguments; do
    log="$work/$role-${url##*/}.log"
    : >"$log"
    # The arguments are separate words.
    "$bin/$program" $arguments >"$log" 2>&1 &
    stand_ins="$stand_ins $!"
    echo "$role $url"
    if [ "$role" = platform ]; then
        platform=${url##*/}
    fi
done <"$work/stand-ins"

for log in "$work"/*.log; do
    tries=0
    until grep -q '^ready ' "$log"; do
        tries=$((tries + 1))
        [ "$tries" -lt 200 ] || fail "a stand-in isn't ready; is its address in use?"
        sleep 0.05
    done
done
"$bin/demo-caller" load-hosts --platform "$platform" --hosts "$work/hosts.json"

operators=
while read -r caller operator settings; do
    "$bin/lycheefordd" --settings "$settings" >"$work/daemon-$caller.log" 2>&1 &
    daemons="$daemons $!"
    operators="$operators $operator"
    echo "daemon http://$caller"
    echo "admin http://$operator"
    daemon=$caller
done <"$work/daemons"
operator=${operators##* }

await_options=
for address in $operators; do
    await_options="$await_options --operator $address"
done
"$bin/demo-caller" await $await_options || fail "a daemon isn't ready"

"$bin/lycheeford" --daemon "$operator" config apply --wait \
    --base "$work/base.yaml" --overlay "$work/overlay.yaml" >"$work/apply.log" 2>&1 ||
    fail "the configuration wasn't applied"

key=
while read -r customer; do
    granted=$("$bin/lycheeford" --daemon "$operator" key grant "$customer") ||
        fail "no key was granted to $customer"
    granted=$(printf '%s\n' "$granted" | tail -n 1)
    key=${key:-$granted}
    echo "key $customer $granted"
done <"$work/customers"

echo "curl -N http://$daemon/v1/completions -H 'authorization: Bearer $key'" \
    "-d '{\"model\":\"model-000\",\"prompt\":\"Is the lead still open?\",\"stream\":true}'"

if [ "$once" = yes ]; then
    "$bin/demo-caller" once --daemon "$daemon" --operator "$operator" --key "$key" \
        --model model-001 || fail "a request failed"
    exit 0
fi

# An interrupt ends the wait.
wait
