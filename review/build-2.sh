#!/bin/sh
# Builds what the cases 6 to 10 start besides the program: the stand-ins of rig2.py, which need nothing but Python.
cd "$(dirname "$0")/.." && .venv/bin/python -c 'import ast, pathlib, sys
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)' review/rig2.py review/smpp2.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py
