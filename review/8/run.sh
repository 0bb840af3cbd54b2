#!/bin/sh
# A poison request whose prompt has 1,000 parts comes again; the router hangs while it decides on it.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || exit 2
exec java -cp 'target/review-2:target/lib/*' PoisonOfManyParts review/8/record.txt 1000 32 CONFIG
