#!/bin/sh
# Builds what the cases start beside the program itself: their stand-ins, clients and checks, all in review/src. JDK 17, no dependency.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -encoding UTF-8 -d out src/*.java
