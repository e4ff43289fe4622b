#!/usr/bin/env bash
# A stream that is sent to a stopping front a little later than 3 s after SIGTERM is passed on to a new runner.
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves SIGTERM out.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/review-3/lab3 ] || [ ! -x target/verbenastepd ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
exec target/review-3/lab3 late-stream -program target/verbenastepd -record "$here/record.txt" -trouble="$trouble"
