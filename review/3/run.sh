#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/ChunkedUploads.class ] && [ -d target/system ] || { echo "run the build and review/build.sh first" >&2; exit 2; }
exec java -cp target/review ChunkedUploads review/3/record.txt
