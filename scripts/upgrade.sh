#!/bin/sh
# Runs hosts of two builds side by side, as while a fleet is upgraded or rolled back, and prints
# for each rule that hosts keep together whether they kept it (platform/tests/upgrade.rs).
#
#   scripts/upgrade.sh COMMIT
#
# The other build is made from the commit (scripts/build-commit.sh).
set -eu

if [ $# -ne 1 ]; then
    echo "upgrade.sh: give a commit: scripts/upgrade.sh COMMIT" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
program=$(scripts/build-commit.sh "$1")

echo "other build: $1"
LYCHEEFORD_OTHER_PROGRAM=$program \
    exec cargo test --quiet --locked -p lycheeford-site --test upgrade -- \
    --nocapture --test-threads=2
