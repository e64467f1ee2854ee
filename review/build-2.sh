#!/usr/bin/env bash
# Builds the program that plays the cases 4 to 6: their store, replicas, callers, trainers and platform. It has no
# dependencies and needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cargo build --offline --locked --release --manifest-path review/cast-2/Cargo.toml --target-dir target/review-2
