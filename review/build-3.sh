#!/bin/sh
# Builds the stand-ins that the scripts in review/9 to review/13 start.
cd "$(dirname "$0")/stand-3" && exec cargo build --release --locked
