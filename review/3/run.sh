#!/bin/bash
# Case 3; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption. Needs target/robinstack and target/review-standin.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/robinstack ] && [ -x target/review-standin ] || { echo "not built" >&2; exit 2; }
exec target/review-standin -case spread -dir review/3 -program target/robinstack
