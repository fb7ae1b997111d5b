"""The daemon: circuits components around the decisions of the other packages."""

from ._main import main

__all__ = ["main"]
