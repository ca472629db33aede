#!/bin/bash
# Builds the stand-ins and tests of the second review's cases into target/review-2. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/src-2/probe/*.java
