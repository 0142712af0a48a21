"""Run the command line with ``python -m samphirerill``."""

from __future__ import annotations

import sys

from samphirerill.cli.main import main


def run() -> None:
    """Run the command line and exit with its code; the binary starts here."""
    sys.exit(main())


if __name__ == '__main__':
    run()
