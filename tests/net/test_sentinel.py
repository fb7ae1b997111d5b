"""An exception ends the process unless it is known to be a caller's."""

from circuits import Component, Event, handler

from briarpond.net import EXIT_INVARIANT, Sentinel


class Fails(Component):
    """Raises when told to."""

    @handler("task")
    def _on_task(self):
        raise ValueError("a broken invariant")


def run(sentinel: Sentinel) -> int:
    app = Fails()
    app += sentinel
    app.fire(Event.create("task"))
    for _ in range(5):
        app.tick()
    return sentinel.exit_code


def test_exception_stops_the_process():
    assert run(Sentinel()) == EXIT_INVARIANT


def test_exception_that_is_forgiven_does_not():
    seen = []

    def forgives(exc, raiser, event) -> bool:
        seen.append((type(exc), event.name))
        return True

    assert run(Sentinel(forgives)) == 0
    assert seen == [(ValueError, "task")]
