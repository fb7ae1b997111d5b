"""The operators' command-line tool."""

from ._cli import main

__all__ = ["main"]
