#!/usr/bin/env bash
# Starts a chain of nodes with stand-in upstreams on loopback, floods it and prints the results for
# each rank.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins
exec "${CARGO_TARGET_DIR:-target}/release/demo"
