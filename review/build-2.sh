#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review: the project's own and those
# below review/standins2. They use the libraries of the deploy file's build.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
python3 -m compileall -q src/trefoilpaddle review/standins2 || exit 2
PYTHONPATH="target/deps:src:review" python3 -c "import standins2.deployment"
