"""Run one node on the users' platform."""

import signal
import sys
from types import ModuleType


def _stop_early(*_: object) -> None:
    """End in good order when told to stop before the node has begun to serve."""
    sys.exit(0)


def _import_circuits() -> None:
    """Import circuits without `pkg_resources`.

    circuits asks it to declare a namespace, which has no use here, and loading it
    takes a third of the processor time of a start.
    """
    stand_in = ModuleType("pkg_resources")
    stand_in.declare_namespace = lambda name: None  # type: ignore[attr-defined]
    known = sys.modules.setdefault("pkg_resources", stand_in)
    import circuits  # noqa: F401

    if known is stand_in:
        del sys.modules["pkg_resources"]


signal.signal(signal.SIGTERM, _stop_early)
_import_circuits()

from ._main import main  # noqa: E402 - the signal may come while modules are loaded

sys.exit(main())
