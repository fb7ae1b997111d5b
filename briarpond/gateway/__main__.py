"""Command ``python -m briarpond.gateway``: runs one node on the users' platform."""

import os
import signal
import sys
from types import ModuleType


def _exit_before_start(*_: object) -> None:
    """Exit with status 0 on a SIGTERM that arrives before the node serves requests.

    An exception would be lost if the signal arrived in a finalizer or a weak reference's
    callback, of which the import of modules runs many.
    """
    os._exit(0)


def _import_circuits() -> None:
    """Import circuits with a stub in place of `pkg_resources`.

    circuits uses `pkg_resources` only to declare a namespace package, which is not
    needed here, and loading it takes a third of the processor time of a start.
    """
    stub = ModuleType("pkg_resources")
    stub.declare_namespace = lambda name: None  # type: ignore[attr-defined]
    registered = sys.modules.setdefault("pkg_resources", stub)
    import circuits  # noqa: F401

    if registered is stub:
        del sys.modules["pkg_resources"]


signal.signal(signal.SIGTERM, _exit_before_start)
# The settings file is read later, and its time is checked once the node runs.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
_import_circuits()

from ._main import main  # noqa: E402 - SIGTERM may arrive while the modules are loaded

status = main()
sys.stderr.flush()
# The interpreter would free all state first, which may take longer than the time until the kill.
os._exit(status)
