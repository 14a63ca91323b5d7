# Starts and stops a fleet. Sourced by the other scripts in this folder, which set first:
#
#   deployment   small, northpass or regulator
#   profile      debug or release
#   daemons_max  number of daemons, empty for the deployment's default
#   engine_options  additional options of every engine, may be empty
#
# DEMO_NET=N moves every address to the network 127.N.0.0/16.

daemons=
stand_ins=
operators=
addresses=
key=

# Builds the programs into $bin.
build_fleet() {
    release=
    if [ "$profile" = release ]; then
        release=--release
    fi
    cargo build --workspace --bins $release ${CARGO_FLAGS:-} >&2
    bin=${CARGO_TARGET_DIR:-target}/$profile
    work=$(mktemp -d)
}

# Stops the processes with the given ids and waits for them to exit.
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
    # Stop the daemons first, so that they drain while their targets still run.
    stop $daemons
    stop $stand_ins
    rm -rf "$work"
}

fail() {
    echo "${0##*/}: $1" >&2
    tail -n 20 "$work"/*.log >&2 || true
    exit 1
}

start_stand_ins() {
    "$bin/demo-files" --deployment "$deployment" --net "${DEMO_NET:-0}" --out "$work" \
        ${daemons_max:+--daemons "$daemons_max"}
    while read -r role url program arguments; do
        log="$work/$role-${url##*/}.log"
        : >"$log"
        if [ "$role" = engine ]; then
            arguments="$arguments $engine_options"
            engine=${url##*/}
        fi
        # Unquoted, so that the arguments split into separate words.
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
}

start_daemons() {
    while read -r caller operator settings; do
        "$bin/lycheefordd" --settings "$settings" >"$work/daemon-$caller.log" 2>&1 &
        daemons="$daemons $!"
        operators="$operators $operator"
        addresses="$addresses $caller"
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
}

configure_fleet() {
    "$bin/lycheeford" --daemon "$operator" config apply --wait \
        --base "$work/base.yaml" --overlay "$work/overlay.yaml" >"$work/apply.log" 2>&1 ||
        fail "the configuration wasn't applied"
    while read -r customer; do
        granted=$("$bin/lycheeford" --daemon "$operator" key grant "$customer") ||
            fail "no key was granted to $customer"
        granted=$(printf '%s\n' "$granted" | tail -n 1)
        key=${key:-$granted}
        echo "key $customer $granted"
    done <"$work/customers"
}

# Starts the whole fleet and stops it when the script exits.
start_fleet() {
    build_fleet
    trap shut_down EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
    start_stand_ins
    start_daemons
    configure_fleet
}
