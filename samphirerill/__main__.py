"""Run the command line with ``python -m samphirerill``."""

from __future__ import annotations

import signal
import sys


def run() -> None:
    """Run the command line and exit with its code; the binary calls this."""
    if sys.argv[1:2] == ['edge']:
        # Until the node handles it, a reload signal would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported lazily: a platform node must restart while its clients wait, and
    # the modules of the other commands would delay that.
    if sys.argv[1:] == ['edge']:
        from samphirerill.platform.early_listen import open_client_socket

        client_socket = open_client_socket()
        from samphirerill.platform.start import run_edge

        sys.exit(run_edge(client_socket=client_socket))
    from samphirerill.cli.main import main

    sys.exit(main())


if __name__ == '__main__':
    run()
