#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. Needs the build of deploy/system.toml
# and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bulrushhinge ] && [ -x target/review-2 ] || exit 2
exec target/review-2 long-chat review/6
