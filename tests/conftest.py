"""Fixed hash seed: iteration orders, and so the verdicts, are the same every time."""

import os

import pytest
from absl import logging

logging.set_verbosity(logging.FATAL)


def pytest_configure(config):
    """Refuse to run without the seed."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        raise pytest.UsageError("set PYTHONHASHSEED=0 before pytest, or use 'make test'")
