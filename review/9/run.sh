#!/usr/bin/env bash
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] && [ -x target/release/poplartraild ] || exit 2
exec timeout 110 target/review-2/case-9 review/9
