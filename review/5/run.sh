#!/bin/sh
# A server says that it leaves while its entry is gone: is it left alone when the entry is back? See claim.txt and case.py.
exec python3 "$(dirname "$0")/case.py"
