#!/usr/bin/env bash
# Runs the driver $2 of the case in folder $1; its exit code is that of the case.
set -uo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
choose_jdk || exit 2
if [ ! -d target/review-2 ] || [ ! -f target/classes.jsa ]; then
  echo "build first: the build of the deploy file, then review/build-2.sh" >&2
  exit 2
fi
exec "$JAVA_HOME/bin/java" -cp target/review-2 "$2" "$PWD" "$1/record.txt"
