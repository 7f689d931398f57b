#!/usr/bin/env bash
# Shows that one caller that sends `Expect: 100-continue` and does not read its answers stops the whole gateway.
# With TROUBLE=0 that caller reads. Exits with 1 if rule CONFIG was broken, 0 if it held, 2 if the case could not run.
set -u
exec python3 "$(dirname "$0")/case.py"
