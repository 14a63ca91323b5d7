#!/bin/sh
# Runs hosts of two builds side by side, as while a fleet is upgraded or rolled back, and prints
# for each rule that hosts keep together whether they kept it (platform/tests/upgrade.rs).
#
#   scripts/upgrade.sh COMMIT
#
# The other build is made from the commit in a work tree of its own under target/builds/, with a
# target folder of its own: Cargo takes equal packages of two work trees for the same.
set -eu

if [ $# -ne 1 ]; then
    echo "upgrade.sh: give a commit: scripts/upgrade.sh COMMIT" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
if ! commit=$(git rev-parse --verify --quiet "$1^{commit}"); then
    echo "upgrade.sh: $1 is no commit of this repository; give one that git log lists" >&2
    exit 2
fi
build=$PWD/target/builds/$commit
program=$build/target/debug/lycheeford-site
if [ ! -d "$build/source" ]; then
    git worktree prune
    git worktree add --quiet --detach "$build/source" "$commit"
fi
LYCHEEFORD_COMMIT=$commit CARGO_TARGET_DIR=$build/target \
    cargo build --quiet --locked --manifest-path "$build/source/Cargo.toml" -p lycheeford-site

echo "other build: $commit"
LYCHEEFORD_OTHER_PROGRAM=$program \
    exec cargo test --quiet --locked -p lycheeford-site --test upgrade -- \
    --nocapture --test-threads=2
