"""Whether this node reaches backend servers, told apart from the loss of single servers."""

from ._reachability import Reachability

__all__ = ["Reachability"]
