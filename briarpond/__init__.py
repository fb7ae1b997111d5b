"""Serving system for models that span several instances."""

__version__ = "0.2.0"
