#!/bin/sh
# Builds the stand-ins of the scripts of this review, without a network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standin-3"
CARGO_TARGET_DIR="$root/target/review-3" cargo build --release --locked --offline
