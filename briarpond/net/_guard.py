"""Confines unexpected errors to the connection, datagram or timer in which they occur."""

import traceback
from collections.abc import Callable

from briarpond.invariants import BrokenInvariantError
from briarpond.logs import log_warning


def run_guarded(source: str, function: Callable[..., object], *args: object) -> bool:
    """Call a function; log an unexpected error instead of letting it end the process.

    A failed assertion, too, costs only what the call was for: one connection, datagram or
    timer. `BrokenInvariantError` is not confined, so the process ends.

    Parameters
    ----------
    source : str
        Where the call comes from, for the log.

    Returns
    -------
    bool
        Whether the call returned without an error.
    """
    try:
        function(*args)
    except BrokenInvariantError:
        raise
    except Exception as exc:
        trace = "".join(traceback.format_tb(exc.__traceback__)[-3:])
        log_warning("unexpected_error", source=source, error=repr(exc), trace=trace)
        return False
    return True
