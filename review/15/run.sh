#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run; see claim.txt.
cd "$(dirname "$0")/../.."
[ -f target/laburnumgap.cjs ] && [ -f target/review-3/lateBeat.cjs ] || exit 2
exec node target/review-3/lateBeat.cjs
