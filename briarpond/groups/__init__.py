"""Groups of instances that serve one model: status reports, readiness, planning, orders.

The daemon uses this package; its groups are formed by records in the log. The gateway plans
its groups with `briarpond.placement`.
"""

from ._inputs import PlannerInput, PlannerPolicy
from ._models import GroupView, Readiness, ReadinessCode
from ._orders import groups_to_load, pending_orders
from ._planner import GroupProposer
from ._presence import Presence, PresenceTable
from ._readiness import group_readiness, readiness_from_reports

__all__ = [
    "GroupView",
    "GroupProposer",
    "PlannerInput",
    "PlannerPolicy",
    "Presence",
    "PresenceTable",
    "Readiness",
    "ReadinessCode",
    "readiness_from_reports",
    "pending_orders",
    "group_readiness",
    "groups_to_load",
]
