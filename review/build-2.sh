#!/bin/sh
# Builds the stand-ins of the second review. Needs the Rust compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/harness review/lib-2/main.rs
