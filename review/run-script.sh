#!/usr/bin/env bash
# run-script.sh FOLDER CLASS TROUBLE: runs a case's program in the root of the repository; its record goes to
# FOLDER/record.txt. TROUBLE is 0 to leave out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.."
if [ ! -f "review/target/standins/$2.class" ] || [ ! -f target/host/banyanspoke-host.jar ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout -k 3 -s TERM 115 java -Xmx256m "-Dtrouble=$3" -cp review/target/standins "$2" "$folder/record.txt"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
