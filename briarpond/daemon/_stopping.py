"""End of a node: waits for answers that callers have not read yet, and says what it gives up."""

from collections.abc import Callable
from typing import Protocol

from briarpond.logs import log_event
from briarpond.nodes import DrainStage

from ._closing import CloseReason, UnreadAnswer, log_answer_cut
from ._node import NodeContext

# Lines about answers that are given up at the end; further ones are only counted.
MAX_ANSWER_LINES = 200


class CallerConnections(Protocol):
    """The part of the callers' listener that a stop uses."""

    def unread_answers(self) -> list[UnreadAnswer]:
        """Return the answers that are complete and not yet at their callers."""

    def stop_accepting(self) -> None:
        """Take the connections that the kernel has made already, and no other."""

    def refuse_arriving(self) -> None:
        """Refuse the requests that have arrived in part."""


class NoConnections:
    """For a node without sockets: every answer is with its caller at once."""

    def unread_answers(self) -> list[UnreadAnswer]:
        """Return no answer."""
        return []

    def stop_accepting(self) -> None:
        """Do nothing."""

    def refuse_arriving(self) -> None:
        """Do nothing."""


class Stopping:
    """Moves the drain of a node on, and logs each stage with what is still in hand.

    Parameters
    ----------
    connections : callable
        Returns the connections of callers.
    """

    def __init__(self, node: NodeContext, connections: Callable[[], CallerConnections]) -> None:
        self._node = node
        self._connections = connections
        self._stage = node.drain.stage

    def tick(self, now: float) -> DrainStage:
        """Advance the shutdown and return the stage reached."""
        node = self._node
        if not node.drain.leaving:
            return node.drain.stage
        unread = self._connections().unread_answers()
        stage = node.drain.on_tick(now, node.in_flight + len(unread))
        if stage is not self._stage:
            self._stage = stage
            log_event(
                "drain_stage",
                node=node.id,
                stage=stage.value,
                forced=node.drain.forced,
                in_flight=node.in_flight,
                unread_answers=len(unread),
                unread_bytes=sum(answer.size for answer in unread),
            )
        return stage

    def end_input(self) -> None:
        """Take no further connection, and refuse what has arrived in part."""
        connections = self._connections()
        connections.stop_accepting()
        connections.refuse_arriving()

    def log_end(self, now: float) -> None:
        """Log what the exit gives up."""
        unread = self._connections().unread_answers()
        for answer in unread[:MAX_ANSWER_LINES]:
            log_answer_cut(answer, CloseReason.STOPPING, now)
        log_event(
            "drain_end",
            node=self._node.id,
            forced=self._node.drain.forced,
            in_flight=self._node.in_flight,
            answers_cut=len(unread),
            bytes_cut=sum(answer.size for answer in unread),
        )
