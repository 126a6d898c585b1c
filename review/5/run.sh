#!/bin/sh
# Plays this case; needs the build of the deploy file and review/build-2.sh. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=review/stand-2/target/release/review-stand-2
[ -x "$program" ] && [ -x target/release/gorsespur ] || exit 2
exec "$program" images review/5/record.txt
