#!/usr/bin/env bash
# Builds the stand-ins and judges of the cases into review/target. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -d target src/*.java
