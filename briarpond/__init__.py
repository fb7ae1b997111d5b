"""Request routing for models that are each hosted by groups of several instances."""

__version__ = "0.9.0"
