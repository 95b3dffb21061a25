"""Entry point of ``python -m kestrelspar``: without arguments it runs the courier, with arguments the command line.

The `run` command of the platform's deployment file has no arguments.
"""

from __future__ import annotations

import sys

from kestrelspar.serve import main

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from kestrelspar.cli.main import cli  # imports click, which only the command line needs

        cli()
    sys.exit(main())
