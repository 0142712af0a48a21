"""The ``bench`` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse


def add_bench_options(parser: argparse.ArgumentParser) -> None:
    """Add the bench's own commands and options."""
