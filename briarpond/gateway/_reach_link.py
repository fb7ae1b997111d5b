"""Makes the checks that tell the loss of this node's links from the loss of servers.

While it is not known which of the two has happened, the consequences of losses are held here.
"""

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from briarpond.ids import InstanceId
from briarpond.logs import log_event, log_warning
from briarpond.net import run_guarded
from briarpond.reachability import (
    CHECK_TIMEOUT_S,
    Check,
    CheckTarget,
    LinkState,
    LossKind,
    SendProgress,
    Verdict,
    find_silence,
)

from ._send import Send
from ._send_state import SendPhase
from ._state import NodeState

# How often it is decided what follows from the checks while there is a doubt, and while this node
# is cut off.
STEP_INTERVAL_S = 0.02
CUT_OFF_STEP_INTERVAL_S = 0.1
# How often the requests in flight are looked at for silence.
SILENCE_CHECK_INTERVAL_S = 0.05
# A crash is held if another server failed this shortly before, in seconds. A lone one is evidence
# at once: whether its request is repeated depends on it, and the quarantine counts crashes that
# come together as one.
TOGETHER_S = 0.15
# A connection that was opened for a check is used by requests within this time, in seconds.
CHECKED_IDLE_TIMEOUT_S = 2.0


class _HeldLoss(msgspec.Struct, frozen=True):
    """What is to be done about a loss once it is known that this node's links are sound.

    Attributes
    ----------
    kind : LossKind
        What is held.
    lost_at : float
        Time at which this node took something for lost.
    act : callable
        Called if the loss is believed.
    """

    kind: LossKind
    lost_at: float
    act: Callable[[], None]


class ReachLink:
    """Checks servers, holds the consequences of losses and reports the state of the links.

    Parameters
    ----------
    state : NodeState
        Shared state of the node; its `reachability` decides.
    open_sends : callable
        Returns the sends of requests to servers that are under way.
    on_change : callable
        Called when this node has become cut off, or is back.
    """

    def __init__(
        self,
        state: NodeState,
        open_sends: Callable[[], Iterable[Send]],
        on_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._open_sends = open_sends
        self._on_change = on_change
        self._reachability = state.reachability
        self._held: list[_HeldLoss] = []
        self._pool: tuple[CheckTarget, ...] = ()
        self._was_cut_off = False
        self._is_step_due = False
        self._reachability.is_wired = True
        self._reachability.on_doubt = lambda: self._step_after(0.0)
        state.hold_loss = self.hold

    def start(self) -> None:
        """Start to watch the requests in flight."""
        self._state.clock.every(SILENCE_CHECK_INTERVAL_S, self._check_silence)

    def hold(self, server: InstanceId, kind: LossKind, act: Callable[[], None]) -> None:
        """Act on the loss of a server once this node has reached another; else drop it.

        Parameters
        ----------
        server : InstanceId
            The server.
        kind : LossKind
            What is held. The planner's losses are checked at once: it is one node, and repairs
            wait for it.
        act : callable
            Called if the loss is believed.
        """
        now = self._state.clock.now()
        self._reachability.note_failure(server, now, is_urgent=kind is LossKind.INSTANCE)
        if kind is LossKind.CRASH and self._is_lone(server, now):
            act()
            return
        self._held.append(_HeldLoss(kind, now, act))
        self._step_after(0.0)

    def _is_lone(self, server: InstanceId, now: float) -> bool:
        """Whether only this server has failed lately, so that the links are probably sound."""
        if self._reachability.is_cut_off(now):
            return False
        return not self._reachability.has_other_failure(server, now - TOGETHER_S)

    def _check_silence(self) -> None:
        now = self._state.clock.now()
        silence = find_silence((_progress_of(send) for send in self._open_sends()), now)
        if silence is None:
            return
        if self._reachability.verdict(silence.since) is Verdict.HOLD:
            self._reachability.note_failure(silence.server, now)

    def _step_after(self, delay_s: float) -> None:
        if not self._is_step_due:
            self._is_step_due = True
            self._state.clock.after(delay_s, self._run_step)

    def _run_step(self) -> None:
        self._is_step_due = False
        run_guarded("reachability", self._step)
        if self._reachability.state() is LinkState.CUT_OFF:
            self._step_after(CUT_OFF_STEP_INTERVAL_S)
        elif self._held or self._reachability.state() is LinkState.IN_DOUBT:
            self._step_after(STEP_INTERVAL_S)

    def _step(self) -> None:
        now = self._state.clock.now()
        self._pool = self._find_pool(now) or self._pool
        for check in self._reachability.next_checks(self._pool, now):
            self._check(check)
        self._report_change(now)
        self._settle_held(now)

    def _find_pool(self, now: float) -> tuple[CheckTarget, ...]:
        """Return the servers that may be checked: the targets, and on the planner all."""
        state = self._state
        listed = state.fleet.all_instances()
        if listed and state.planner == state.settings.node:
            return tuple(
                CheckTarget(each.id, each.address, each.data_centre)
                for each in listed
                if each.id not in state.fleet.unavailable_since
            )
        heads = [
            CheckTarget(each.head, each.address, each.data_centre) for each in state.groups(now)
        ]
        servers = [
            CheckTarget(each.instance, each.address, each.data_centre)
            for each in state.servers(now)
        ]
        return (*heads, *servers)

    def _check(self, check: Check) -> None:
        def on_done(is_established: bool) -> None:
            result = "answered" if is_established else "failed"
            self._state.metrics.reach_checks.inc({"result": result})
            self._reachability.record_check(check, is_established, self._state.clock.now())
            run_guarded("reachability", self._step)

        self._state.client.connect(
            check.target.address, CHECK_TIMEOUT_S, CHECKED_IDLE_TIMEOUT_S, on_done
        )

    def _report_change(self, now: float) -> None:
        """Log that this node has become cut off or is back, and tell the rest of the node."""
        is_cut_off = self._reachability.is_cut_off(now)
        if is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = is_cut_off
        log_warning(
            "reachability",
            state="cut_off" if is_cut_off else "back",
            checked=self._reachability.checked,
            failed=self._reachability.failures,
            ms=int(self._reachability.elapsed_s * 1000),
        )
        self._state.metrics.cut_off.set({}, int(is_cut_off))
        if not is_cut_off:
            self._state.forget_avoided()
        run_guarded("reachability", self._on_change)

    def _settle_held(self, now: float) -> None:
        """Act on held losses that are believed, and drop those of a cut."""
        waiting, dropped = [], []
        held, self._held = self._held, []
        for loss in held:
            match self._reachability.verdict(loss.lost_at):
                case Verdict.BELIEVE:
                    run_guarded("held_loss", loss.act)
                case Verdict.DROP:
                    dropped.append(loss.kind.value)
                case Verdict.HOLD:
                    waiting.append(loss)
        self._held = waiting + self._held
        if dropped:
            counts = Counter(dropped)
            kinds = "+".join(f"{kind}:{count}" for kind, count in sorted(counts.items()))
            log_event("losses_held", outcome="dropped", count=len(dropped), kinds=kinds)


def _progress_of(send: Send) -> SendProgress:
    phase = send.progress.phase
    return SendProgress(
        send.server,
        phase is SendPhase.CONNECTING,
        phase is SendPhase.STREAMING,
        send.last_progress,
    )
