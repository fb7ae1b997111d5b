"""The listed instances of the backend services and the groups that they report."""

from ._groups import ListedGroup, assemble_groups
from ._models import Instance, InstanceState, Membership, MemberState
from ._view import FleetView

__all__ = [
    "FleetView",
    "ListedGroup",
    "Instance",
    "InstanceState",
    "MemberState",
    "Membership",
    "assemble_groups",
]
