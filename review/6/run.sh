#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, with 0 if it held, with 2 if it could not run.
# With TROUBLE=0 the case is played without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/target/review-2/standin" ] || exit 2
[ -x "$root/target/router" ] || exit 2
exec "$root/target/review-2/standin" -case takeover -root "$root" -record "$folder/record.txt"
