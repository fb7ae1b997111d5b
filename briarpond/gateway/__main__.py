"""Run one node on the users' platform."""

import signal
import sys


def _stop_early(*_: object) -> None:
    """End in good order when told to stop before the node has begun to serve."""
    sys.exit(0)


signal.signal(signal.SIGTERM, _stop_early)

from . import main  # noqa: E402 - the signal may come while modules are loaded

sys.exit(main())
