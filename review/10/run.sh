#!/bin/sh
# Plays the case; claim.txt tells what it shows. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
stand="$root/review/stand-3/target/release/review-stand-3"
[ -x "$stand" ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec "$stand" late-poll "$root" "$folder"
