#!/usr/bin/env bash
# Shows that requests without an answer, on a route that takes under a millisecond, hang the whole gateway; with TROUBLE=0
# all are answered.
# Exits with 1 if rule CONFIG was broken, 0 if it held, 2 if the case could not run. Writes record.txt beside itself.
set -u
exec python3 "$(dirname "$0")/case.py"
