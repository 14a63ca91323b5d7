#!/bin/sh
# Runs today's tests on the gateways of older commits and prints a line for each test and commit,
# with the start of the message of one that fails: which commits have a fault that a test shows.
#
#   scripts/regressions.sh "TEST FILES" COMMIT...
#
# A test file is a name in platform/tests without its extension. The output of each is kept in
# target/builds/COMMIT/. Tests that start a gateway start the commit's program instead.
set -eu

if [ $# -lt 2 ]; then
    echo "regressions.sh: give test files and commits: regressions.sh \"promises lost\" COMMIT..." >&2
    exit 2
fi
cd "$(dirname "$0")/.."
files=$1
shift
for commit in "$@"; do
    program=$(scripts/build-commit.sh "$commit")
    for file in $files; do
        log=${program%/target/*}/$file.log
        # A failing test is a result here, not an error.
        RUST_BACKTRACE=0 LYCHEEFORD_TESTED_PROGRAM=$program \
            cargo test --quiet --locked -p lycheeford-site --test "$file" -- \
            --format pretty --test-threads=2 >"$log" 2>&1 || true
        grep -E '^test .* \.\.\. ' "$log" | sed "s/^test /$commit $file /" ||
            echo "$commit $file: no test ran; see $log"
        awk -v place="$commit $file" '
            /^---- .* stdout ----$/ { test = $2 }
            test != "" && is_message > 0 && length($0) > 3 {
                print place, test ":", substr($0, 1, 160); test = ""
            }
            { is_message = /panicked at/ || (is_message && length($0) <= 3) }
        ' "$log"
    done
done
