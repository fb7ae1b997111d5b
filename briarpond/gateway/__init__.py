"""Serving on the users' platform: sockets and timers around the decisions."""

from ._main import main

__all__ = ["main"]
