"""Entry point of ``python -m kestrelspar``: without arguments it runs the courier, with arguments the command line.

The `run` command of the platform's deployment file has no arguments.
"""

from __future__ import annotations

import signal
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from kestrelspar.cli.main import cli  # imports click, which only the command line needs

        cli()
    # Held back until ``open_signal_socket``, as its default action would end the process during the imports.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from kestrelspar.serve import main

    sys.exit(main())
