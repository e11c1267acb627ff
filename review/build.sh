#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the Rust tool chain alone, and no other crate.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
