"""Forms groups of instances and assigns models to them.

Only one node, the holder of the planner's lease, runs these decisions for a service.
"""

from ._layout import initial_layout
from ._loads import LoadBudget
from ._models import GroupStage, Order, OrderKind, PlannedGroup
from ._planner import Planner

__all__ = [
    "LoadBudget",
    "Order",
    "OrderKind",
    "PlannedGroup",
    "Planner",
    "GroupStage",
    "initial_layout",
]
