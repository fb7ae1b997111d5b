"""Nodes of the system: entry addresses, draining and removal."""

from ._drain import Drain, DrainStage
from ._entries import EntryList, entry_list
from ._models import PeerView, PeerViews

__all__ = ["Drain", "DrainStage", "EntryList", "PeerView", "PeerViews", "entry_list"]
