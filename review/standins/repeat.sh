#!/usr/bin/env bash
# Runs the script of a case several times, and once without the disruption.
# usage: standins/repeat.sh CASE [TIMES]
set -u
cd "$(dirname "$0")/.."
for _ in $(seq "${2:-5}"); do "./$1/run.sh"; echo "exit $?"; done
echo "without the disruption:"; TROUBLE=0 "./$1/run.sh"; echo "exit $?"
