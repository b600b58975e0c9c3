#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
choose_jdk
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 21 -d target/review-2 review/harness-2/*.java
