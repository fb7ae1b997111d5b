"""Sockets and timers of the exchange with the other nodes, as UDP datagrams."""

import random
import socket
from collections.abc import Callable, Iterable

from circuits import BaseComponent

from briarpond.directory import (
    HOUSEKEEPING_INTERVAL_S,
    MAX_DATAGRAM_BYTES,
    PAUSE_S,
    RELAY_INTERVAL_S,
    UNENCODABLE,
    Answer,
    Datagram,
    Member,
    Notice,
    Outgoing,
    PeerSync,
    PlanDelta,
    Pull,
    SyncCallbacks,
    decode_datagram,
    encode_datagram,
    smaller_messages,
)
from briarpond.ids import InstanceId
from briarpond.logs import log_warning
from briarpond.net import Address, Clock, DirectPoller, run_guarded
from briarpond.quarantine import Evidence

# Datagrams that are read before the event loop goes on to other work.
MAX_DATAGRAMS_PER_READ = 64


class PeerLink(BaseComponent):
    """Sends and receives the datagrams of a `PeerSync`.

    Parameters
    ----------
    clock : Clock
        Source of time and timers.
    poller : DirectPoller
        Calls `on_readable` when the socket has datagrams.
    address : Address
        UDP address to bind; all nodes use the same port.
    own : Member
        Description of this node.
    callbacks : SyncCallbacks
        Connection to the rest of the node.
    describe : callable
        Returns the fields of this node's description that may have changed.
    is_first_start : bool
        Whether the whole system starts for the first time.

    Attributes
    ----------
    sync : PeerSync
        State of the exchange.
    """

    channel = "peers"

    def __init__(
        self,
        clock: Clock,
        poller: DirectPoller,
        address: Address,
        own: Member,
        callbacks: SyncCallbacks,
        describe: Callable[[], dict[str, bool]],
        is_first_start: bool,
    ) -> None:
        super().__init__()
        self.sync = PeerSync(own, callbacks, random.Random(), clock.now(), is_first_start)
        self._clock = clock
        self._port = address.port
        self._describe = describe
        self._housekept_at = clock.now()
        self._pull_delay_s = RELAY_INTERVAL_S
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        poller.addReader(self, self._sock)

    def start(self) -> None:
        """Start to pull from other nodes."""
        self._clock.every(HOUSEKEEPING_INTERVAL_S, self._housekeep)
        self._pull_periodically()

    def announce(
        self,
        stalled: tuple[InstanceId, ...] = (),
        delta: PlanDelta | None = None,
        evidence: Evidence | None = None,
    ) -> None:
        """Tell other nodes at once of a change here, of stalled servers, a plan or evidence."""
        self._refresh_own()
        self._send_all(self.sync.announce(self._clock.now(), stalled, delta, evidence))

    def on_readable(self, _sock: socket.socket) -> None:
        """Receive waiting datagrams; called by the poller."""
        if self._was_paused():
            self._discard_waiting()
            return
        for _ in range(MAX_DATAGRAMS_PER_READ):
            data = self._receive()
            if data is None:
                return
            run_guarded("datagram", self._handle_datagram, data)

    def on_writable(self, _sock: socket.socket) -> None:
        """Do nothing; the poller never calls this, as no writer is registered."""

    def _receive(self) -> bytes | None:
        try:
            return self._sock.recvfrom(MAX_DATAGRAM_BYTES)[0]
        except BlockingIOError:
            return None
        except OSError as exc:
            log_warning("datagram_not_read", error=str(exc))
            return None

    def _handle_datagram(self, data: bytes) -> None:
        message = decode_datagram(data)
        if message.is_error():
            log_warning("datagram_malformed", error=message.error)
            return
        now = self._clock.now()
        match message.ok:
            case Pull():
                self._refresh_own()
                self._send_all(self.sync.on_pull(message.ok, now))
            case Answer():
                self._send_all(self.sync.on_answer(message.ok, now))
            case Notice():
                self._send_all(self.sync.on_notice(message.ok, now))

    def _refresh_own(self) -> None:
        self.sync.members.update_own(**self._describe())

    def _send_all(self, outgoing: Iterable[Outgoing]) -> None:
        data, previous = b"", None
        for each in outgoing:
            if each.message is not previous:
                data, previous = self._encode(each.message), each.message
            if data:
                self._send(data, each.host)

    def _encode(self, message: Datagram) -> bytes:
        """Return the datagram of a message, or of what fits of it; empty if there is none."""
        data = self._encode_whole(message)
        whole_bytes = len(data)
        for smaller in smaller_messages(message):
            if len(data) <= MAX_DATAGRAM_BYTES:
                break
            data = self._encode_whole(smaller)
        if whole_bytes > MAX_DATAGRAM_BYTES:
            kind = type(message).__name__
            log_warning("datagram_cut", kind=kind, bytes=whole_bytes, sent=len(data))
        return data if len(data) <= MAX_DATAGRAM_BYTES else b""

    def _encode_whole(self, message: Datagram) -> bytes:
        try:
            return encode_datagram(message)
        except UNENCODABLE as exc:
            log_warning("datagram_not_encoded", kind=type(message).__name__, error=repr(exc)[:200])
            return b""

    def _send(self, data: bytes, host: str) -> None:
        try:
            self._sock.sendto(data, (host, self._port))
        except OSError as exc:
            # No retry: the next pull carries the same content.
            log_warning("datagram_not_sent", host=host, error=str(exc))

    def _pull_periodically(self) -> None:
        self._pull_delay_s = RELAY_INTERVAL_S
        run_guarded("pull", self._pull)
        self._clock.after(self._pull_delay_s * random.uniform(0.9, 1.1), self._pull_periodically)

    def _pull(self) -> None:
        self._refresh_own()
        outgoing, self._pull_delay_s = self.sync.next_pull(self._clock.now())
        if outgoing is not None:
            self._send_all([outgoing])

    def _housekeep(self) -> None:
        if self._was_paused():
            self._discard_waiting()
        now = self._clock.now()
        self._housekept_at = now
        self._send_all(self.sync.housekeep(now))

    def _was_paused(self) -> bool:
        """Whether this process was not scheduled for so long that datagrams may be outdated."""
        return self._clock.now() - self._housekept_at > HOUSEKEEPING_INTERVAL_S + PAUSE_S

    def _discard_waiting(self) -> None:
        discarded = 0
        while self._receive() is not None:
            discarded += 1
        now = self._clock.now()
        log_warning("pause_noticed", seconds=round(now - self._housekept_at, 1), lost=discarded)
        self._housekept_at = now
        self.sync.on_pause(now)
