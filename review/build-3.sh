#!/bin/sh
# Builds the stand-ins and scripts of the cases 11 to 15 into target/review-3. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -Xlint:all -Werror -d target/review-3 review/src-3/*.java
cp review/src-3/names.properties target/review-3/
