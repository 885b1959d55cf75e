#!/usr/bin/env bash
# Compiles the stand-ins and cases of the review into review/target. Needs a JDK 17 only; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -encoding UTF-8 --release 17 --add-modules jdk.httpserver -Xlint:all -d target src/*.java
cp src/wire.properties target/
