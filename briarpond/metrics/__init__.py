"""Prometheus metrics of a node process, by way of aioprometheus."""

from ._registry import Metrics

__all__ = ["Metrics"]
