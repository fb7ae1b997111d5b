"""Which instances form groups of which model: decisions of the one planner."""

from ._layout import first_layout
from ._loads import LoadBudget
from ._models import Order, OrderKind, PlannedGroup, Stage
from ._planner import Planner

__all__ = ["LoadBudget", "Order", "OrderKind", "PlannedGroup", "Planner", "Stage", "first_layout"]
