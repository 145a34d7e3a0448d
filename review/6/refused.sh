#!/bin/sh
# As run.sh, for the other half of the fault: REFUSED.
exec python3 "$(dirname "$0")/refused.py"
