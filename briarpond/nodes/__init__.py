"""Nodes of the system: addresses for callers, draining, and the liveness of peers."""

from ._drain import Drain, DrainStage
from ._entries import EntryList, entry_list
from ._models import PeerView, PeerViews

__all__ = ["Drain", "DrainStage", "EntryList", "PeerView", "PeerViews", "entry_list"]
