#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp 'target/lib/*' review/stand_ins-2/*.java
