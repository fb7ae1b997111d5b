"""Command-line tool for operators, ``briarpondctl``."""

from ._cli import main

__all__ = ["main"]
