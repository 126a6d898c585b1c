#!/usr/bin/env bash
# Builds the stand-ins of the scripts, which use the standard library alone.
set -eu
cd "$(dirname "$0")/stand"
cargo build --release --offline --locked
