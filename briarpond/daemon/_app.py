"""Process of one node: event loop, listeners and signals around its `Assembly`."""

import signal

from circuits.core.pollers import EPoll
from circuits.web.http import HTTP

from briarpond.conf import Address, Settings
from briarpond.logs import log_event, log_warning
from briarpond.net import BodyBudget, Clock, Connector, HttpClient, UncaughtExceptionHandler

from ._assembly import Assembly
from ._inbound import Listener, RequestHandler
from ._peer_net import PeerClient, PeerServer


def is_malformed_request(exc: BaseException, raiser, event) -> bool:
    """Whether circuits.web raised an exception while it parsed a caller's request.

    Such an exception is logged, the connection is closed and the process goes on; any
    other exception shows a broken invariant.

    Parameters
    ----------
    raiser : callable or None
        Event handler that raised the exception.
    event : Event or None
        Event that it handled.
    """
    owner = getattr(raiser, "__self__", None)
    if not isinstance(owner, HTTP) or event is None or event.name != "read":
        return False
    log_warning("malformed_request", error=repr(exc))
    return True


class NodeProcess:
    """One node with its event loop, listeners and connections to peers."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = Clock()
        self._exception_handler = UncaughtExceptionHandler(is_malformed_request)
        poller = EPoll()
        connector = Connector(self._clock, poller)
        for component in (poller, self._exception_handler, connector):
            self._clock += component
        secret = settings.peers.secret.encode()
        self._assembly = Assembly(
            settings,
            self._clock,
            HttpClient(connector, self._clock),
            PeerClient(connector, self._clock, secret).call,
            self._clock.stop,
        )
        self._clock += PeerServer(settings.listen.peers, self._assembly.peers.answer, secret)
        self._body_budget = BodyBudget(settings.limits.body_bytes)
        callers = self._listen("callers", settings.listen.callers, self._assembly.callers.handle)
        self._assembly.connections = callers
        self._listen("operators", settings.listen.operators, self._assembly.operators.handle)

    def run(self) -> int:
        """Run until the node has stopped; return the exit code."""
        context = self._assembly.context
        log_event(
            "node_start",
            node=context.id,
            incarnation=context.incarnation,
            data_centre=context.data_centre,
            callers=self._settings.listen.callers,
        )
        self._assembly.start()
        self._clock.after(0.0, self._install_signal_handlers)
        self._clock.run()
        log_event("node_stop", node=context.id, exit_code=self._exception_handler.exit_code)
        return self._exception_handler.exit_code

    def _listen(self, name: str, address: Address, handle: RequestHandler) -> Listener:
        listener = Listener(
            address, name, self._clock, self._settings.limits, handle, self._body_budget
        )
        self._clock += listener
        return listener

    def _install_signal_handlers(self) -> None:
        # circuits installs its own handlers when the loop starts and would replace
        # earlier ones, so this runs on the first turn of the loop.
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._clock.after(0.0, self._assembly.begin_drain))
