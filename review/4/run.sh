#!/bin/sh
# One endless answer of one server: does the gateway stay within its memory? See claim.txt and case.py.
exec python3 "$(dirname "$0")/case.py"
