#!/bin/bash
# Builds the stand-ins of the scripts: endpoints, operator and clients, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standins/*.java
