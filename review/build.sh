#!/bin/sh
# Prepares the stand-ins of the scripts. They are Python without further packages, as the project's own test scripts are.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing; scripts/packages installs it" >&2; exit 1; }
for file in standins/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
test -x ../target/magnoliaspan || { echo "target/magnoliaspan is missing: run the build of deploy/system.toml first" >&2; exit 1; }
echo "stand-ins are ready"
