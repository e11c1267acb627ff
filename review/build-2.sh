#!/bin/bash
# Builds the stand-ins that the cases 6 to 10 start. They use the standard library alone, so that no network is needed.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/stand-ins-2"
cargo build --release --locked --offline --target-dir target
