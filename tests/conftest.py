"""Requires a fixed hash seed, so that iteration orders and thus test results are reproducible."""

import os

import pytest
from absl import logging

logging.set_verbosity(logging.FATAL)


def pytest_configure(config):
    """Stop with a usage error unless the hash seed is 0."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        raise pytest.UsageError("set PYTHONHASHSEED=0 before pytest, or use 'make test'")
