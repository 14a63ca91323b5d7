#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc -O --edition 2024 -o target/review-2/standin review/standin-2/src/main.rs
