#!/usr/bin/env bash
# Shows that a planned stop (SIGTERM) cuts answers that callers are still reading; TROUBLE=0 leaves the SIGTERM out.
# Exits with 1 if rule LOST was broken, 0 if it held, 2 if the case could not run. Writes record.txt beside itself.
set -u
exec python3 "$(dirname "$0")/case.py"
