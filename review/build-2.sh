#!/bin/sh
# Builds the stand-ins and scripts of the cases 4 to 8. They need no library beside Rust's own.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
cargo build --release --locked --offline --manifest-path review/8/Cargo.toml --target-dir target/review-8
