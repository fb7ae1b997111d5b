"""Metrics of one process, rendered by aioprometheus."""

from ._registry import Metrics

__all__ = ["Metrics"]
