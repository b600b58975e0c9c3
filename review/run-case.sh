#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
. scripts/lib.sh
choose_jdk || exit 2
if [ ! -d target/review ] || [ ! -x target/runtime/bin/java ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=3 115 "$JAVA_HOME/bin/java" -Xmx512m -Drepository="$PWD" -Dfolder="$folder" \
  -Dtemporary="$temporary" -Dtrouble="${TROUBLE:-1}" -cp target/review "$2"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
