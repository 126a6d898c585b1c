#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They need no dependency.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --offline --manifest-path review/stand-2/Cargo.toml
