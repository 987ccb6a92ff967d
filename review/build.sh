#!/bin/sh
# Builds the programs of the review's scripts: one for each case, with its stand-ins. They use Rust's standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]; do
    "${RUSTC:-rustc}" --edition 2024 -O -D warnings -o "target/review/case-$(basename "$case")" "$case/case.rs"
done
