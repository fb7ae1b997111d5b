"""The listed instances of the backend services and the groups that they report."""

from ._groups import Group, groups_of
from ._models import Instance, InstanceState, Membership, MemberState
from ._view import FleetView

__all__ = [
    "FleetView",
    "Group",
    "Instance",
    "InstanceState",
    "MemberState",
    "Membership",
    "groups_of",
]
