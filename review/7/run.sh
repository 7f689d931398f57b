#!/bin/sh
# A request that ends servers, at a machine without a path to them: is it stopped? See claim.txt and case.py.
exec python3 "$(dirname "$0")/case.py"
