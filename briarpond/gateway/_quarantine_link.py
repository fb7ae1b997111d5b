"""Connects the quarantine of prompt parts to the logs, the metrics and the rest of the node."""

from collections.abc import Callable

from briarpond.ids import PromptPart
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock
from briarpond.quarantine import (
    Condemnation,
    Evidence,
    Quarantine,
    QuarantineCallbacks,
    ReleaseReason,
)

from ._metrics import GatewayMetrics


class QuarantineLink:
    """Owns the quarantine of a node and reports what it decides.

    Parameters
    ----------
    metrics : GatewayMetrics
        Metrics of the node.
    clock : Clock
        Source of time and timers.
    count_groups : callable
        Takes the present time; returns the number of groups that serve.

    Attributes
    ----------
    quarantine : Quarantine
        Evidence and verdicts.
    is_trial_node : callable
        Takes a part and the present time; returns whether this node may try the part.
    end_requests : callable
        Takes a part that was put in quarantine; ends the requests with it that are in flight.
    announce : callable
        Takes what other nodes are to be told at once.
    """

    def __init__(
        self,
        metrics: GatewayMetrics,
        clock: Clock,
        count_groups: Callable[[float], int],
    ) -> None:
        self.is_trial_node: Callable[[PromptPart, float], bool] = lambda part, now: True
        self.end_requests: Callable[[PromptPart], None] = lambda part: None
        self.announce: Callable[[Evidence], None] = lambda evidence: None
        self._metrics = metrics
        self._clock = clock
        self.quarantine = Quarantine(
            QuarantineCallbacks(
                count_groups=count_groups,
                is_trial_node=lambda part, at: self.is_trial_node(part, at),
                on_quarantined=self._on_quarantined,
                on_suspected=self._announce,
                schedule=self._schedule_evaluation,
                on_trial=self._on_trial,
                on_released=self._on_released,
            ),
            clock.now(),
        )

    def _on_quarantined(self, condemnation: Condemnation, is_first_hand: bool) -> None:
        now = self._clock.now()
        case = condemnation.case
        log_warning(
            "part_quarantined",
            part=condemnation.part,
            level=condemnation.level,
            crashes="+".join(
                f"{crash.key.server}:{int((now - crash.at) * 1000)}ms"
                for crash in condemnation.crashes
            )
            or "-",
            requests=-1 if case is None else case.requests,
            other_crashes=-1 if case is None else case.other_crashes,
            chance=-1.0 if case is None else case.chance,
            first_hand=is_first_hand,
        )
        self._count()
        self.end_requests(condemnation.part)
        if is_first_hand:
            self._announce()

    def _schedule_evaluation(self, delay_s: float) -> None:
        self._clock.after(delay_s, lambda: self.quarantine.evaluate(self._clock.now()))

    def _announce(self) -> None:
        evidence = self.quarantine.evidence(self._clock.now())
        if evidence is not None:
            self.announce(evidence)

    def _on_trial(self, part: PromptPart, request_id: str) -> None:
        log_event("part_tried", part=part, id=request_id)

    def _on_released(self, part: PromptPart, reason: ReleaseReason) -> None:
        log_event("part_released", part=part, reason=reason.value)
        self._count()

    def _count(self) -> None:
        self._metrics.quarantined_parts.set({}, len(self.quarantine.statuses(self._clock.now())))
