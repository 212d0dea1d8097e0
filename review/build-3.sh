#!/usr/bin/env bash
# Builds the program that the scripts of the third review start. Needs no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/standin-3/main.rs
