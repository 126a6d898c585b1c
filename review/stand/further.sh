#!/usr/bin/env bash
# Plays a further finding, `cancelled-job` or `late-start`, which REPORT.md tells of beside the
# cases: further.sh NAME FOLDER. The record goes to FOLDER, results are those of a case.
cd "$(dirname "$0")/../.." || exit 2
exec review/stand/target/release/review-stand "$PWD" "$1" "$2"
