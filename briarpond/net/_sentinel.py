"""What happens when an exception reaches the loop."""

from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, handler

from briarpond.logs import log_fatal_event

EXIT_INVARIANT = 70

Forgives = Callable[[BaseException, Any, Any], bool]


class Sentinel(BaseComponent):
    """Stops the process when an exception shows a broken invariant.

    Parameters
    ----------
    forgives : callable
        Takes the exception, the handler that raised it and the event it handled;
        whether the process goes on. It logs what it lets pass.

    Attributes
    ----------
    exit_code : int
        What the process should end with.
    """

    channel = "*"

    def __init__(self, forgives: Forgives = lambda exc, raiser, event: False) -> None:
        super().__init__()
        self.exit_code = 0
        self._forgives = forgives

    @handler("exception", channel="*", priority=10)
    def _on_exception(self, kind, exc, trace, handler=None, fevent=None) -> None:
        if self._forgives(exc, handler, fevent):
            return
        lines = trace if isinstance(trace, list) else [str(trace)]
        log_fatal_event("broken_invariant", error=repr(exc), trace="".join(lines))
        self.exit_code = EXIT_INVARIANT
        self.root.stop(EXIT_INVARIANT)
