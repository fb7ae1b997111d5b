"""Handling of exceptions that no event handler has caught."""

from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, handler

from briarpond.logs import log_fatal_event

# Exit status after an uncaught exception; EX_SOFTWARE of sysexits.h.
EXIT_BROKEN_INVARIANT = 70

# Takes the exception, the handler that raised it and the event it handled.
ExceptionFilter = Callable[[BaseException, Any, Any], bool]


class UncaughtExceptionHandler(BaseComponent):
    """Stops the process when an event handler raises an uncaught exception.

    Such an exception means that an invariant is broken, so the state in memory can no
    longer be trusted.

    Parameters
    ----------
    tolerates : callable
        Returns whether the process continues in spite of an exception, such as one
        caused by malformed input. It logs the exceptions that it tolerates.

    Attributes
    ----------
    exit_code : int
        Exit status for the process; 0 while there was no uncaught exception.
    """

    channel = "*"

    def __init__(self, tolerates: ExceptionFilter = lambda exc, raiser, event: False) -> None:
        super().__init__()
        self.exit_code = 0
        self._tolerates = tolerates

    @handler("exception", channel="*", priority=10)
    def _on_exception(self, kind, exc, trace, handler=None, fevent=None) -> None:
        if self._tolerates(exc, handler, fevent):
            return
        lines = trace if isinstance(trace, list) else [str(trace)]
        log_fatal_event("broken_invariant", error=repr(exc), trace="".join(lines))
        self.exit_code = EXIT_BROKEN_INVARIANT
        self.root.stop(EXIT_BROKEN_INVARIANT)
