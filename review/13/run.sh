#!/usr/bin/env bash
# Exits with 1 if ORDER was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
exec timeout --preserve-status --kill-after=5 110 "$root/target/review-3/standin-3" restored "$root" record.txt
