#!/bin/sh
# Shows the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0: no answer of the store is lost, and no
# process is killed.
exec python3 -B "$(dirname "$0")/late_row.py"
