#!/bin/sh
# A connection of one router to the store goes silent; a server that leaves then is still used.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || exit 2
exec java -cp 'target/review-2:target/lib/*' SilentStoreConnection review/9/record.txt
