#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/. Needs a JDK of 21 or newer, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
choose_jdk
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 21 -d target/review review/harness/*.java
