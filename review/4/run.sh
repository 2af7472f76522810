#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cherrystream ] && [ -x target/review-2/release/review-cases-2 ] || exit 2
exec target/review-2/release/review-cases-2 4
