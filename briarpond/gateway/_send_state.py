"""How far one send to a backend server has come."""

from enum import Enum

import msgspec

# A server that has written events for this long ended for another reason than the request.
BLAMABLE_STREAMING_S = 1.0


class SendPhase(Enum):
    """Progress of a send, by what the backend server has done so far.

    Attributes
    ----------
    CONNECTING
        No byte of the request was sent.
    SENT
        The request was sent, and nothing of an answer has arrived.
    HEAD_RECEIVED
        Status and headers of the answer have arrived, but no complete event.
    STREAMING
        At least one complete event has arrived.
    """

    CONNECTING = "connecting"
    SENT = "sent"
    HEAD_RECEIVED = "head"
    STREAMING = "streaming"


class SendState(msgspec.Struct):
    """Times and progress of one send.

    Attributes
    ----------
    began_at : float
        Time at which the send began, connecting included.
    epoch : int
        Epoch of the group that the request is sent to; 0 for a plain server.
    was_sent : bool
        Whether a byte of the request may have reached the backend server.
    head_received : bool
        Whether status and headers of the answer have arrived.
    is_framed : bool
        Whether the answer states where it ends, by a length or by chunks. Otherwise it ends
        with its connection.
    events_began_at : float or None
        Time of the first complete event of a stream; None before it.
    """

    began_at: float
    epoch: int = 0
    was_sent: bool = False
    head_received: bool = False
    is_framed: bool = False
    events_began_at: float | None = None

    @property
    def phase(self) -> SendPhase:
        """Progress of the send."""
        if self.events_began_at is not None:
            return SendPhase.STREAMING
        if self.head_received:
            return SendPhase.HEAD_RECEIVED
        return SendPhase.SENT if self.was_sent else SendPhase.CONNECTING

    def streaming_s(self, now: float) -> float | None:
        """Return the seconds since the first event; None before it."""
        return None if self.events_began_at is None else now - self.events_began_at

    def may_have_ended_server(self, now: float) -> bool:
        """Whether this request may be why its server ended, by how far its answer had come."""
        streaming_s = self.streaming_s(now)
        return self.was_sent and (streaming_s is None or streaming_s < BLAMABLE_STREAMING_S)
