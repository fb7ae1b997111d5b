"""Signs of a cut that come before anything has failed: connects that hang, and silent streams."""

from collections.abc import Iterable

import msgspec

from briarpond.ids import InstanceId

# A connect that takes this long raises a doubt, in seconds.
SLOW_CONNECT_S = 0.12
# Streams of several servers that are all silent for this long raise one, in seconds.
SILENCE_S = 0.3
MIN_SILENT_SERVERS = 2


class SendProgress(msgspec.Struct, frozen=True):
    """How far a request that was sent to a server has come.

    Attributes
    ----------
    server : InstanceId
        The server.
    is_connecting : bool
        Whether the connection is not established yet.
    is_streaming : bool
        Whether events of the answer have arrived, so that more are due.
    progress_at : float
        Time at which the send began or last received something.
    """

    server: InstanceId
    is_connecting: bool
    is_streaming: bool
    progress_at: float


class Silence(msgspec.Struct, frozen=True):
    """A server that is silent, and since when.

    Attributes
    ----------
    server : InstanceId
        The server.
    since : float
        Time of the last sign of it.
    """

    server: InstanceId
    since: float


def find_silence(sends: Iterable[SendProgress], now: float) -> Silence | None:
    """Return a server whose silence may mean that this node is cut off; None if there is none.

    One silent stream says nothing: a sound server may be silent for a second.
    """
    latest: dict[InstanceId, float] = {}
    for send in sends:
        if send.is_connecting and now - send.progress_at > SLOW_CONNECT_S:
            return Silence(send.server, send.progress_at)
        if send.is_streaming:
            latest[send.server] = max(send.progress_at, latest.get(send.server, 0.0))
    if len(latest) < MIN_SILENT_SERVERS:
        return None
    server, since = max(latest.items(), key=lambda item: item[1])
    return Silence(server, since) if now - since > SILENCE_S else None
