"""Groups of instances that serve one model: status reports, readiness, planning, orders."""

from ._inputs import PlannerInput, PlannerPolicy
from ._models import GroupView, Readiness, ReadinessCode
from ._orders import due_orders, loading_groups
from ._planner import Planner
from ._presence import Presence, PresenceTable
from ._readiness import confirm_members, group_readiness

__all__ = [
    "GroupView",
    "Planner",
    "PlannerInput",
    "PlannerPolicy",
    "Presence",
    "PresenceTable",
    "Readiness",
    "ReadinessCode",
    "confirm_members",
    "due_orders",
    "group_readiness",
    "loading_groups",
]
