"""Forms groups of instances and assigns models to them.

The gateway uses this package; it sends the orders to the instances itself. Only one node,
the holder of the planner's lease, runs these decisions for a service. The daemon plans its
groups by records in the log instead; see `briarpond.groups`.
"""

from ._formation import term_of_epoch
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
    "term_of_epoch",
]
