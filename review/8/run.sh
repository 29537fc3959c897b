#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
case_folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" || exit 2
cd "$case_folder/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH="target/deps:src:review" exec python3 "$case_folder/case.py"
