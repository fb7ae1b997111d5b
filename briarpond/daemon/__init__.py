"""Process of a node: connects the decisions of the other packages to sockets and timers."""

from ._main import main

__all__ = ["main"]
