#!/bin/sh
# Starts the site, freezes one daemon, and checks a rule of CONFIG. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-8/release/review-8
if [ ! -x "$program" ] || [ ! -x target/release/cherrystream ]; then
    echo "build with the command of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
exec "$program" review/8/record.txt
