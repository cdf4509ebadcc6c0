#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' programs with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/standins
mkdir -p target/standins
javac -Xlint:all -Werror -d target/standins standins/*.java
