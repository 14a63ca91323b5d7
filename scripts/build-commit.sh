#!/bin/sh
# Builds the gateway's program of a commit and prints its path.
#
#   scripts/build-commit.sh COMMIT
#
# The build is made in a work tree of its own under target/builds/, with a target folder of its
# own: Cargo takes equal packages of two work trees for the same.
set -eu

if [ $# -ne 1 ]; then
    echo "build-commit.sh: give a commit: scripts/build-commit.sh COMMIT" >&2
    exit 2
fi
cd "$(dirname "$0")/.."
if ! commit=$(git rev-parse --verify --quiet "$1^{commit}"); then
    echo "build-commit.sh: $1 is no commit of this repository; give one that git log lists" >&2
    exit 2
fi
build=$PWD/target/builds/$commit
if [ ! -d "$build/source" ]; then
    git worktree prune
    git worktree add --quiet --detach "$build/source" "$commit"
fi
LYCHEEFORD_COMMIT=$commit CARGO_TARGET_DIR=$build/target \
    cargo build --quiet --locked --manifest-path "$build/source/Cargo.toml" -p lycheeford-site
echo "$build/target/debug/lycheeford-site"
