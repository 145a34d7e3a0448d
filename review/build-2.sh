#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python programs, the project's
# own and those of common-2, so that nothing is compiled: this checks that all can
# be read. Writes no file.
set -eu
cd "$(dirname "$0")/.."
exec python3 - standin/hosted/*.py review/common-2/*.py review/6/*.py \
	review/7/*.py review/8/*.py review/9/*.py review/10/*.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
END
