"""Benchmarks: each module is a command that prints Markdown tables."""
