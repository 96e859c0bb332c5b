#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review under target/review-2, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
"$(bin/find-jdk)/bin/javac" -d target/review-2 review/harness-2/*.java
