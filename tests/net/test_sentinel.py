"""Tests of the handler for uncaught exceptions.

They guard against a process that goes on with a broken invariant, and against one that
a caller can stop with malformed input.
"""

from circuits import Component, Event, handler

from briarpond.net import EXIT_BROKEN_INVARIANT, UncaughtExceptionHandler


class FailingComponent(Component):
    """Raises an exception when a ``task`` event is fired."""

    @handler("task")
    def _on_task(self):
        raise ValueError("a broken invariant")


def run(exception_handler: UncaughtExceptionHandler) -> int:
    """Return the exit code after an uncaught exception."""
    app = FailingComponent()
    app += exception_handler
    app.fire(Event.create("task"))
    for _ in range(5):
        app.tick()
    return exception_handler.exit_code


def test_uncaught_exception_stops_the_process():
    assert run(UncaughtExceptionHandler()) == EXIT_BROKEN_INVARIANT


def test_tolerated_exception_does_not_stop_the_process():
    seen = []

    def tolerates(exc, raiser, event) -> bool:
        seen.append((type(exc), event.name))
        return True

    assert run(UncaughtExceptionHandler(tolerates)) == 0
    assert seen == [(ValueError, "task")]
