#!/bin/bash
# Builds the stand-ins of the scripts. They use the standard library only, so that no registry is needed.
set -eu
cd "$(dirname "$0")"
cargo build --release --offline --locked --manifest-path standin/Cargo.toml --target-dir target
