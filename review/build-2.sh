#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs a JDK 17 only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standins-2/*.java
