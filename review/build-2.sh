#!/bin/sh
# Builds the stand-ins of the second review's scripts. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
