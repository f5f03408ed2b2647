#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They use only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-ins-2/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != common ]; then
        rustc --edition 2024 -O -o "target/review-2/$name" "$source"
    fi
done
