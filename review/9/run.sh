#!/bin/sh
# A poison request whose prompt has 2,500 parts comes again and again, and crashes servers each time.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || exit 2
exec java -cp 'target/review-2:target/lib/*' PoisonOfManyParts review/9/record.txt 2500 32 BUDGET
