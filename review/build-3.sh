#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review under target/review-3, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
"$(bin/find-jdk)/bin/javac" -d target/review-3 review/harness-3/*.java
