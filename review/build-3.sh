#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 13. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/standins-3/review3/*.java
