"""Run the command line with ``python -m samphirerill``."""

from __future__ import annotations

import sys

from samphirerill.cli.main import main

if __name__ == '__main__':
    sys.exit(main())
