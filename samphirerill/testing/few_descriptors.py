"""Run a node with the descriptors of a small VM, or fewer."""

from __future__ import annotations

import resource
import sys

from samphirerill.cli.main import main

MAX_DESCRIPTORS = 400


if __name__ == '__main__':
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    sys.exit(main())
