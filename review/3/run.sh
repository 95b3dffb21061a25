#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "run the deploy file's build first"; exit 2; }
exec ../../.venv/bin/python case.py
