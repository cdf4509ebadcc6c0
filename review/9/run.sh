#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec java -cp target/review-2 IdleRestartCase review/9
