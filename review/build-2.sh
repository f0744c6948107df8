#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start. It needs the Rust compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig-2 review/rig-2/main.rs
