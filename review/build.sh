#!/bin/sh
# Builds the stand-ins of the review; run it from anywhere after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standin review/standin/main.rs
