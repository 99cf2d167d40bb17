#!/bin/sh
# Runs the case and writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. With TROUBLE=0 the disruption is left out.
exec python3 "$(dirname "$0")/case.py"
