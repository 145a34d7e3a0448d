#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs, those of
# standin/hosted included, so that this only compiles them as a check.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - standin/hosted/*.py review/common/*.py review/*/*.py <<'END'
import sys
if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
END
