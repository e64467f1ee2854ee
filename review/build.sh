#!/usr/bin/env bash
# Builds the daemon and the drivers of the cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --package borageshore
cargo build --release --offline --manifest-path review/driver/Cargo.toml --target-dir target/review
