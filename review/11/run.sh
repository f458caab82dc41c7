#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
[ -x target/review-3/standin ] && [ -x target/deploy/sequoiawing-platform ] || exit 2
exec target/review-3/standin take_up review/11
