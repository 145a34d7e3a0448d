#!/bin/sh
# Builds what the scripts of review/11 to review/14 start beside
# target/bin/fg-gateway, which the build of the deploy file makes. Their
# stand-ins, the project's own in standin/hosted and those in the cases, are
# Python programs: they are only checked here.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standin/hosted/*.py review/common-3/*.py review/1[1-4]/*.py; do
	[ -e "$file" ] || continue
	python3 -B - "$file" <<'EOF'
import sys
with open(sys.argv[1], encoding="utf-8") as f:
    compile(f.read(), sys.argv[1], "exec")
EOF
done
echo "stand-ins are ready"
