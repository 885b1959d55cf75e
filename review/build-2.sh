#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start. The daemon itself is built by the command of
# the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/src-2/*.java
cp review/src-2/wire.properties target/review-2/
