#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
mkdir -p target/review
"$JAVA_HOME/bin/javac" -nowarn -d target/review -cp "target/node/lib/*" review/harness/*.java
