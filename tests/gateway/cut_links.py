"""Test bench: a gateway whose links to all servers can be cut, in virtual time."""

from enum import Enum

from briarpond.gateway._reach_link import ReachLink
from briarpond.net import LossReason

from .world import Gateway, NullExchange, ScriptedClient

# How long a connect or a short call takes while the links are sound, in seconds.
ANSWER_S = 0.01


class Cut(Enum):
    """What becomes of connections between a node and all servers."""

    NONE = "none"
    # Nothing is answered.
    HANG = "hang"
    # Connections are reset, and new ones are refused.
    RESET = "reset"
    # Connections live on, and new ones are refused.
    REFUSE = "refuse"


class CuttableClient(ScriptedClient):
    """Plays the links of a node; addresses in `dead` do not answer whatever the links do.

    Attributes
    ----------
    cut : Cut
        State of the links.
    probe : callable
        Takes an address; returns the body of its answer to a call of `fetch`.
    """

    def __init__(self, clock) -> None:
        super().__init__(clock)
        self.cut = Cut.NONE
        self.dead = set()
        self.connects = 0
        self.fetches = []
        self.body = b"{}"

    def begin(self, cut):
        """Cut the links, or mend them."""
        self.cut = cut
        if cut is Cut.RESET:
            for sent in self.sent:
                self.clock.after(0.0, self._reset(sent))

    def _reset(self, sent):
        return lambda: sent.cancelled or sent.call.on_lost(LossReason.CONNECTION_LOST)

    def start(self, call):
        if self._reaches(call.address):
            return super().start(call)
        self.clock.after(
            self._failure_s(call.connect_timeout_s),
            lambda: call.on_lost(LossReason.CONNECT_FAILED),
        )
        return NullExchange()

    def connect(self, address, timeout_s, _idle_timeout_s, on_done):
        self.connects += 1
        answered = self._reaches(address)
        delay_s = ANSWER_S if answered else self._failure_s(timeout_s)
        self.clock.after(delay_s, lambda: on_done(answered))

    def fetch(self, address, method, target, headers, body, timeout_s, on_answer, on_failure):
        self.fetches.append((address, target))
        if self._reaches(address):
            self.clock.after(ANSWER_S, lambda: on_answer(200, self.body))
        else:
            reason = LossReason.TIMEOUT if self.cut is Cut.HANG else LossReason.CONNECT_FAILED
            self.clock.after(self._failure_s(timeout_s), lambda: on_failure(reason))
        return NullExchange()

    def _reaches(self, address):
        return self.cut is Cut.NONE and address not in self.dead

    def _failure_s(self, timeout_s):
        is_silent = self.cut in (Cut.NONE, Cut.HANG)
        return timeout_s if is_silent else 0.0


class CuttableGateway(Gateway):
    """A gateway that checks its links.

    Attributes
    ----------
    changes : list of bool
        Whether the node was cut off, after each change.
    """

    def __init__(self, tmp_path, heads=("h1", "h2", "h3"), clock=None) -> None:
        super().__init__(tmp_path, heads, clock)
        self.client = self.state.client = CuttableClient(self.clock)
        self.changes = []
        self.reach = ReachLink(self.state, self.ingress.open_sends, self._on_change)
        self.reach.start()

    def _on_change(self):
        self.changes.append(self.is_cut_off)

    @property
    def is_cut_off(self):
        return self.state.reachability.is_cut_off(self.clock.now())
