#!/bin/sh
# Shows the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held,
# 2 if the case could not run. TROUBLE=0: no machine is replaced, and no process
# is killed. REPLACED=0: no machine is replaced, but the final fault comes.
exec python3 -B "$(dirname "$0")/replaced.py"
