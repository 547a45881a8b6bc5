#!/usr/bin/env bash
# Starts a chain of nodes with stand-ins on loopback, floods it and prints what each rank got.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins
exec "${CARGO_TARGET_DIR:-target}/release/demo"
