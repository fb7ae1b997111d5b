"""Benchmarks; each module is one command and prints a Markdown table."""
