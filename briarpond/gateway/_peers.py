"""Heartbeats to and from the other nodes, as datagrams."""

import random
import socket
from collections.abc import Callable

from circuits import BaseComponent

from briarpond.directory import (
    Beat,
    Echo,
    NodeBook,
    decode_message,
    encode_beat,
    encode_echo,
)
from briarpond.ids import NodeId
from briarpond.logs import log_event, log_warning
from briarpond.net import Address, Clock, DirectPoller

BEAT_S = 0.2
# All heartbeats of a node together stay near this many a second.
BEATS_PER_S = 120.0
DATAGRAM_BYTES = 65_000
DATAGRAMS_A_TURN = 64


class PeerLink(BaseComponent):
    """Sends this node's heartbeat to all known nodes and takes theirs."""

    channel = "peers"

    def __init__(
        self,
        clock: Clock,
        poller: DirectPoller,
        address: Address,
        node: NodeId,
        make_beat: Callable[[], Beat],
        on_beat: Callable[[Beat], None],
        make_echo: Callable[[Beat], Echo | None],
        on_echo: Callable[[Echo], None],
    ) -> None:
        super().__init__()
        self.book = NodeBook(node)
        self._clock = clock
        self._node = node
        self._port = address.port
        self._make_beat = make_beat
        self._on_beat = on_beat
        self._make_echo = make_echo
        self._on_echo = on_echo
        self._hosts: dict[NodeId, str] = {}
        self._unread = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        poller.addReader(self, self._sock)

    def start(self) -> None:
        """Begin to send."""
        self._beat()

    def set_nodes(self, hosts: dict[NodeId, str]) -> None:
        """Take the registered nodes."""
        self._hosts.update({node: host for node, host in hosts.items() if node != self._node})

    def forget(self, node: NodeId) -> None:
        """A node has left."""
        self._hosts.pop(node, None)

    def send_now(self) -> None:
        """Send a heartbeat at once, because something changed."""
        data = encode_beat(self._make_beat())
        for host in set(self._hosts.values()):
            self._send(data, host)

    def readable(self, _sock: socket.socket) -> None:
        """Take heartbeats."""
        for _ in range(DATAGRAMS_A_TURN):
            try:
                data, _address = self._sock.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                log_warning("beat_not_read", error=str(exc))
                return
            self._take(data)

    def writable(self, _sock: socket.socket) -> None:
        """Never asked for."""

    def _take(self, data: bytes) -> None:
        message = decode_message(data)
        if message.is_error():
            log_warning("beat_malformed", error=message.error)
        elif isinstance(message.ok, Echo):
            self._on_echo(message.ok)
        elif message.ok.node != self._node:
            self._take_beat(message.ok)

    def _take_beat(self, beat: Beat) -> None:
        host = beat.callers.host
        self._hosts[beat.node] = host
        if self.book.put(beat, self._clock.now()):
            log_event("node_heard", node=beat.node, host=host)
        self._on_beat(beat)
        echo = self._make_echo(beat)
        if echo is not None:
            self._send(encode_echo(echo), host)

    def _send(self, data: bytes, host: str) -> None:
        try:
            self._sock.sendto(data, (host, self._port))
        except OSError as exc:
            # A lost datagram: the next heartbeat says the same.
            log_warning("beat_not_sent", host=host, error=str(exc))

    def _beat(self) -> None:
        self.send_now()
        interval = max(BEAT_S, len(self._hosts) / BEATS_PER_S)
        self._clock.after(interval * random.uniform(0.9, 1.1), self._beat)
