#!/bin/sh
# Builds the stand-ins and the cases into review/out; needs what the build of the deploy file made.
set -e
cd "$(dirname "$0")/.."
rm -rf review/out
mkdir -p review/out
javac -nowarn -encoding UTF-8 -d review/out -cp 'target/lib/*' $(find review -name '*.java')
